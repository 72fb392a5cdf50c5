package io.beryldock.membership;

/** What nodes say of a node, in rising order: of two statuses with one revision the later counts. */
enum MemberStatus {
    ALIVE,
    /** Did not answer its observers; it denies by a higher revision. */
    SUSPECTED,
    /** Did not deny in time, but so many are silent that a partition is the likelier cause: kept, as unreachable. */
    MISSING,
    /** Did not deny in time. It may still come back by a higher revision. */
    FAILED,
    /** Said itself that it stops; final for this start of the node. */
    LEFT
}
