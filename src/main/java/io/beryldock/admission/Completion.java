package io.beryldock.admission;

/** How a target's work on a request ended. */
public enum Completion {
    /** The target answered in time. */
    SUCCEEDED,
    /** The target failed or the connection was lost. */
    FAILED,
    /** The target refused with its marker before running the request. */
    REFUSED_BY_TARGET,
    /** The target answered after the caller had given up or the time was over. */
    ABANDONED_DONE
}
