package io.beryldock.admission;

/** How the execution of a request at a target ended. */
public enum Completion {
    /** The target answered in time. */
    SUCCEEDED,
    /** The target failed or the connection was lost. */
    FAILED,
    /** The target refused the request with its not-executed marker before running it. */
    REFUSED_BY_TARGET,
    /** The target answered after the caller had cancelled the request or its deadline had passed. */
    ABANDONED_DONE
}
