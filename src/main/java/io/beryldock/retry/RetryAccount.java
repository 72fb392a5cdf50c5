package io.beryldock.retry;

import io.beryldock.call.RequestId;
import java.util.Optional;

/**
 * The retry allowance of one call at the node that runs it.
 *
 * <p>Invariant, checked on each change: held + spent + outstanding + lost + returned equals the allowance that the
 * account was opened with, and none of them is negative. Thread safe.
 */
public final class RetryAccount {

    private final RetryLedger ledger;
    private final RequestId call;
    private AccountState state;
    private boolean closed;

    RetryAccount(RetryLedger ledger, RequestId call, int allowance) {
        this.ledger = ledger;
        this.call = call;
        this.state = AccountState.open(allowance);
    }

    /** Spends one retry at this node; false when none is held or the account is closed. */
    public synchronized boolean takeRetry() {
        if (closed || state.held() == 0) {
            return false;
        }
        update(state.spendOne());
        return true;
    }

    /** Grants up to {@code wanted} retries to an attempt of a child call; the grant may be empty. */
    public synchronized RetryGrant grant(int wanted) {
        int amount = closed ? 0 : Math.max(0, Math.min(wanted, state.held()));
        update(state.grant(amount));
        return new RetryGrant(this, amount, ledger.newGuard());
    }

    /** Grants to an attempt of a child call as many retries as the policy decides. */
    public synchronized RetryGrant grant(GrantPolicy policy, boolean leaf) {
        return grant(policy.amount(state.held(), leaf));
    }

    /**
     * Closes the account and returns the number of unspent retries, which go back to the caller with the call's answer.
     *
     * <p>Grants that are not settled yet count as lost, because the answers of those children arrive too late. A second
     * close returns 0.
     */
    public synchronized int close() {
        if (closed) {
            return 0;
        }
        closed = true;
        int unspent = state.held();
        update(state.close());
        ledger.onClosed(call, this);
        return unspent;
    }

    public synchronized AccountState state() {
        return state;
    }

    Optional<RequestId> requestId() {
        return Optional.of(call);
    }

    RetryLedger ledger() {
        return ledger;
    }

    synchronized void settle(int granted, int unspent) {
        if (closed) {
            ledger.countRejectedReturn();
            return;
        }
        update(state.settle(granted, unspent));
    }

    private void update(AccountState next) {
        if (!next.isBalanced()) {
            String detail = "retry account of " + call + " doesn't add up: " + next + "; report this line";
            ledger.countViolation(call, detail);
            throw new RetryInvariantException(detail);
        }
        state = next;
    }
}
