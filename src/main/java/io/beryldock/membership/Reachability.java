package io.beryldock.membership;

/** The reachability of a node as believed by this node. Traffic prefers reachable nodes and tries all others last. */
public enum Reachability {
    REACHABLE,
    /** Some nodes receive no answer from it; it may still refute the suspicion. */
    SUSPECTED,
    /** The node or its whole data centre does not answer any node of this data centre. */
    UNREACHABLE
}
