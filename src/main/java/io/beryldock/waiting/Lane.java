package io.beryldock.waiting;

/** Among requests of one rank, those of an earlier lane go first. */
enum Lane {
    /** Was refused, came back when it was told, and can still meet its objective. */
    RETURNED,
    /** Can meet its objective. */
    NEW,
    /** Can no longer meet its objective, but an answer is still of use to its caller. */
    LATE
}
