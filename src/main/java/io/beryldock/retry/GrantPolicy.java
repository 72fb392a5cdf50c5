package io.beryldock.retry;

/** How much of what an account holds goes to the next attempt of a child call. Stateless, thread safe. */
@FunctionalInterface
public interface GrantPolicy {

    int part(int held);

    /** Everything. */
    static GrantPolicy all() {
        return held -> held;
    }

    /** Everything but one retry, kept for this node. */
    static GrantPolicy keepOne() {
        return held -> Math.max(0, held - 1);
    }

    /** Half, rounded up, so that a single retry is handed on. */
    static GrantPolicy half() {
        return held -> (held + 1) / 2;
    }
}
