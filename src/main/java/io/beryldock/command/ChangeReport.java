package io.beryldock.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import io.beryldock.call.DataCentre;

/** What became of a change. Every kind is immutable. */
public sealed interface ChangeReport {

    /**
     * Written; it will never revert.
     *
     * @param changeId names the change in the history
     * @param version of the configuration that holds it
     * @param inForce data centres where it was seen in force by the time of this report
     * @param missing data centres where it was not, or not yet
     */
    record Accepted(
            String changeId,
            long version,
            ImmutableSortedSet<DataCentre> inForce,
            ImmutableSortedSet<DataCentre> missing,
            ImmutableList<String> effects)
            implements ChangeReport {}

    /** Another operator changed the same setting since this one looked; nothing was written. */
    record Conflict(String setting, String otherValue, String otherOperator, long version) implements ChangeReport {}

    /** The store's answer was lost and could not be read back: it may be in force, now or later. */
    record Unknown(String changeId, String remedy) implements ChangeReport {}

    /** It is not allowed; nothing was written. */
    record Rejected(String message, String remedy) implements ChangeReport {}

    /** A dry run: what would change, one sentence each; nothing was written. */
    record WouldChange(ImmutableList<String> effects, long version) implements ChangeReport {}
}
