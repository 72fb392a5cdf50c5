package io.beryldock.command;

import com.google.common.collect.ImmutableList;

/** What became of a change of the configuration. Every kind is immutable. */
public sealed interface ChangeReport {

    /**
     * Written; it will never revert.
     *
     * @param changeId names the change in the history
     * @param version of the configuration that holds it
     */
    record Accepted(String changeId, long version) implements ChangeReport {}

    /**
     * Another operator changed the same setting first; nothing was written.
     *
     * @param setting that both changed
     * @param version of the configuration that holds the other's value
     */
    record Conflict(String setting, String otherValue, String otherOperator, long version) implements ChangeReport {}

    /** The store's answer was lost and could not be read back: the change may be in force, now or later. */
    record Unknown(String changeId, String remedy) implements ChangeReport {}

    /** It is not allowed, or it can't be written now; nothing was written. */
    record Rejected(String message, String remedy) implements ChangeReport {}

    /** A dry run: what would change, one sentence each, on top of the configuration of that version. */
    record WouldChange(ImmutableList<String> effects, long version) implements ChangeReport {}
}
