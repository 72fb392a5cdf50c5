package io.beryldock.retry;

/**
 * Retries that an account granted to one attempt of a child call.
 *
 * <p>Invariant: settled at most once, by {@link #giveBack} or {@link #lose}, and never for more than its amount.
 * Thread safe.
 */
public final class RetryGrant {

    private final RetryAccount account;
    private final int amount;
    private final SettleGuard guard;

    RetryGrant(RetryAccount account, int amount, SettleGuard guard) {
        this.account = account;
        this.amount = amount;
        this.guard = guard;
    }

    /** Number of retries granted, which is the child's {@code CallContext.retryAllowance}. May be 0. */
    public int amount() {
        return amount;
    }

    /**
     * Returns to the account the retries that the child reports as unspent with its answer.
     *
     * <p>The number comes from another node and is limited to the amount granted. Since an answer can arrive twice or
     * late, a second settlement, or one after the account was closed, has no effect apart from being counted.
     */
    public void giveBack(int unspent) {
        int capped = Math.max(0, Math.min(unspent, amount));
        if (capped != unspent) {
            account.ledger().countRejectedReturn();
        }
        settle(capped);
    }

    /**
     * Writes the grant off, because the child's answer was lost and what it spent is unknown. No effect once settled.
     */
    public void lose() {
        settle(0);
    }

    private void settle(int unspent) {
        if (guard.admit()) {
            account.settle(amount, unspent);
        } else {
            account.ledger().countRejectedReturn();
        }
    }
}
