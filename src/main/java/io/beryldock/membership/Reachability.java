package io.beryldock.membership;

/** What this node believes of another one's being reached. Traffic prefers the reachable and tries the rest last. */
public enum Reachability {
    REACHABLE,
    /** Some nodes get no answer from it; it may still deny. */
    SUSPECTED,
    /** It, or its whole data centre, answers nobody here. */
    UNREACHABLE
}
