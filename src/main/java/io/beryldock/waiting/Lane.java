package io.beryldock.waiting;

/** Order of precedence among requests of one rank: requests in an earlier lane are served first. */
enum Lane {
    /**
     * The request was refused before, was retried at the time that its caller was told, and can still meet its
     * objective.
     */
    RETURNED,
    /** The request is new and can meet its objective. */
    NEW,
    /** The request can no longer meet its objective, but an answer is still useful to its caller. */
    LATE
}
