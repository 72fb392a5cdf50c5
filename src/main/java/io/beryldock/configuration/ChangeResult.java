package io.beryldock.configuration;

/** What became of a change that an operator submitted. Immutable. */
public sealed interface ChangeResult {

    /** The change is in the store as that version and will be in every later one. */
    record Accepted(long version, String changeId) implements ChangeResult {}

    /**
     * Another operator changed the same setting since this one looked; nothing was written.
     *
     * @param theirValue the value that stands now
     * @param by who set it
     * @param theirVersion the version that the operator has to have seen to change it again
     */
    record Conflict(String setting, String theirValue, String by, long theirVersion, String remedy)
            implements ChangeResult {}

    /** The change is not acceptable; nothing was written. */
    record Rejected(String message, String remedy) implements ChangeResult {}

    /** The store could not be reached; nothing was written and nothing will be. */
    record NotAccepted(String remedy) implements ChangeResult {}

    /** The store's answer was lost and could not be settled: the change may be in force now or later. */
    record Unknown(String changeId, String remedy) implements ChangeResult {}

    /** Answer to a dry run: the change would be accepted on top of the version. */
    record Acceptable(long version, String setting, String before, String after) implements ChangeResult {}
}
