package io.beryldock.configuration;

/** The outcome of a change that an operator submitted. Immutable. */
public sealed interface ChangeResult {

    /** The change is in the store at the version and is part of every later version. */
    record Accepted(long version, String changeId) implements ChangeResult {}

    /**
     * Another operator has changed the same setting since the version that this change is based on; nothing was
     * written.
     *
     * @param theirValue the current value of the setting
     * @param by the operator who set the current value
     * @param theirVersion the version that the change must be based on to replace the current value
     */
    record Conflict(String setting, String theirValue, String by, long theirVersion, String remedy)
            implements ChangeResult {}

    /** The change is invalid; nothing was written. */
    record Rejected(String message, String remedy) implements ChangeResult {}

    /**
     * The change could not be written, for example because the store could not be reached; it has not taken and will
     * not take effect.
     */
    record NotAccepted(String remedy) implements ChangeResult {}

    /** The store's answer was lost and the outcome could not be determined: the change may be in force now or later. */
    record Unknown(String changeId, String remedy) implements ChangeResult {}

    /** The result of a dry run: the change would be accepted on top of the version. */
    record Acceptable(long version, String setting, String before, String after) implements ChangeResult {}
}
