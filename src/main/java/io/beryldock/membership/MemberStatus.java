package io.beryldock.membership;

/**
 * The status of a node, in ascending order: of two records with the same revision, the one with the higher status wins.
 */
enum MemberStatus {
    ALIVE,
    /** Did not answer its observers; the node can refute this by a higher revision. */
    SUSPECTED,
    /**
     * Did not refute the suspicion in time, but so many nodes do not answer that a partition is the more likely cause.
     * The node is kept and marked as unreachable.
     */
    MISSING,
    /** Did not refute the suspicion in time. The node can still return with a higher revision. */
    FAILED,
    /** Announced its own stop; final for this incarnation. */
    LEFT
}
