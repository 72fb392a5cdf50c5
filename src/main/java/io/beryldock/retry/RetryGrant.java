package io.beryldock.retry;

/**
 * A part of an account that was handed to one attempt of a child call.
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

    /** Retries handed on; goes into the child's {@code CallContext.retryAllowance}. May be 0. */
    public int amount() {
        return amount;
    }

    /**
     * Takes back what the child's answer says it left.
     *
     * <p>A claim above the amount is cut to it; a second settlement, or one after the account was closed, is counted
     * and has no effect. An answer can arrive twice or late, and another node's number is never trusted.
     */
    public void giveBack(int unspent) {
        int capped = Math.max(0, Math.min(unspent, amount));
        if (capped != unspent) {
            account.ledger().countRejectedReturn();
        }
        settle(capped);
    }

    /** Gives the part up: the child's answer was lost, so what it spent can't be known. Without effect once settled. */
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
