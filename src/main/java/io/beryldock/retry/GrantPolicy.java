package io.beryldock.retry;

/**
 * How much of what an account holds goes to the next attempt of a child call.
 *
 * <p>Implementations are stateless and thread safe; the account cuts the part to what it holds.
 */
@FunctionalInterface
public interface GrantPolicy {

    /**
     * The part to hand on.
     *
     * @param held retries that the account holds
     * @param leaf whether the called service is known to make no inner calls, so that it can't spend any
     */
    int part(int held, boolean leaf);

    /** Everything. */
    static GrantPolicy all() {
        return (held, leaf) -> held;
    }

    /** Everything but one retry, kept for an attempt whose answer is lost. */
    static GrantPolicy keepOne() {
        return (held, leaf) -> held - 1;
    }

    /** Everything but one retry, unless there is only one: that is handed on. */
    static GrantPolicy keepOneOfTwo() {
        return (held, leaf) -> held > 1 ? held - 1 : held;
    }

    /** Half, rounded up, so that a single retry is handed on. */
    static GrantPolicy half() {
        return (held, leaf) -> (held + 1) / 2;
    }

    /** Nothing to a leaf, which can't spend it but can lose it; to others what {@code beneath} says. */
    static GrantPolicy sparingLeaves(GrantPolicy beneath) {
        return (held, leaf) -> leaf ? 0 : beneath.part(held, false);
    }

    /** The one that nodes use; docs/DECISIONS/0006-retry-allowance.md has the measurement. */
    static GrantPolicy standard() {
        return sparingLeaves(keepOneOfTwo());
    }
}
