package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import io.beryldock.call.DataCentre;

/** What became of a change of the configuration. Every kind is immutable. */
public sealed interface ChangeReport {

    /**
     * Written; it will never revert.
     *
     * @param changeId names the change in the history
     * @param version of the configuration that holds it
     * @param effects what changed, one sentence each
     * @param inForce data centres where it was seen in force; the operator service fills it in
     * @param missing data centres where it was not seen in force in time; the operator service fills it in
     */
    record Accepted(
            String changeId,
            long version,
            ImmutableList<String> effects,
            ImmutableSortedSet<DataCentre> inForce,
            ImmutableSortedSet<DataCentre> missing)
            implements ChangeReport {

        public static Accepted of(String changeId, long version, ImmutableList<String> effects) {
            return new Accepted(changeId, version, effects, ImmutableSortedSet.of(), ImmutableSortedSet.of());
        }

        Accepted withInForce(ImmutableSortedSet<DataCentre> seen, ImmutableSortedSet<DataCentre> notSeen) {
            return new Accepted(changeId, version, effects, seen, notSeen);
        }
    }

    /**
     * Another operator changed the same setting first; nothing was written.
     *
     * @param setting that both changed, as a statement names it
     * @param version of the configuration that holds the other's value
     */
    record Conflict(String setting, String otherValue, String otherOperator, long version) implements ChangeReport {}

    /** The store's answer was lost and could not be read back: the change may be in force, now or later. */
    record Unknown(String changeId, String remedy) implements ChangeReport {}

    /** It is not allowed, or it can't be written now; nothing was written. */
    record Rejected(String message, String remedy) implements ChangeReport {}

    /** A dry run: what would change, one sentence each, against the configuration of that version. */
    record WouldChange(ImmutableList<String> effects, long version) implements ChangeReport {}
}
