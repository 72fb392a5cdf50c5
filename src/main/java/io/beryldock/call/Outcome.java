package io.beryldock.call;

/** What became of a request, as told to its caller in the header {@code Beryldock-Outcome}. */
public enum Outcome {
    /** The target's complete answer to this very request is in the result. */
    ANSWERED,
    /** The request ran nowhere and will not run; said only by whoever can know. */
    NOT_RUN,
    /** The request may have run, may be running or may still run; nobody can say. */
    UNKNOWN
}
