package io.beryldock.retry;

/**
 * Decides how many retries of an account are granted to the next attempt of a child call.
 *
 * <p>Implementations are stateless and thread safe. The account limits the result to what it holds.
 */
@FunctionalInterface
public interface GrantPolicy {

    /**
     * Number of retries to grant.
     *
     * @param held retries that the account still holds
     * @param leaf whether the called service is known to make no inner calls, so that it can't spend retries
     */
    int amount(int held, boolean leaf);

    /** Grants all retries. */
    static GrantPolicy all() {
        return (held, leaf) -> held;
    }

    /** Grants all retries but one, which is kept for an attempt whose answer is lost. */
    static GrantPolicy keepOne() {
        return (held, leaf) -> held - 1;
    }

    /** Grants all retries but one; a single remaining retry is granted. */
    static GrantPolicy keepOneOfTwo() {
        return (held, leaf) -> held > 1 ? held - 1 : held;
    }

    /** Grants half of the retries, rounded up, so that a single remaining retry is granted. */
    static GrantPolicy half() {
        return (held, leaf) -> (held + 1) / 2;
    }

    /**
     * Grants nothing to a leaf, which could lose retries but not spend them, and applies {@code otherwise} to others.
     */
    static GrantPolicy withholdingFromLeaves(GrantPolicy otherwise) {
        return (held, leaf) -> leaf ? 0 : otherwise.amount(held, false);
    }

    /** The policy that nodes use; see docs/DECISIONS/0006-retry-allowance.md for the comparison of policies. */
    static GrantPolicy standard() {
        return withholdingFromLeaves(keepOneOfTwo());
    }
}
