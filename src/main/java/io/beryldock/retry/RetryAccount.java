package io.beryldock.retry;

import io.beryldock.call.RequestId;
import java.util.Optional;

/**
 * The retry allowance of one call at the node that runs it.
 *
 * <p>Invariant, checked after each change: held + spent + outstanding + lost + returned is what the account was opened
 * with, and none of them is negative. Thread safe.
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
        move(state.spendOne());
        return true;
    }

    /** Hands up to {@code wanted} retries to an attempt of a child call; the grant may be of 0. */
    public synchronized RetryGrant grant(int wanted) {
        int part = closed ? 0 : Math.max(0, Math.min(wanted, state.held()));
        move(state.grant(part));
        return new RetryGrant(this, part, ledger.newGuard());
    }

    /** Hands to an attempt of a child call as much as the policy says. */
    public synchronized RetryGrant grant(GrantPolicy policy, boolean leaf) {
        return grant(policy.part(state.held(), leaf));
    }

    /**
     * Closes the account and returns the unspent part, to go back with the call's answer.
     *
     * <p>What children still hold counts as lost: their answers come too late to be passed on. A second close
     * returns 0.
     */
    public synchronized int close() {
        if (closed) {
            return 0;
        }
        closed = true;
        int unspent = state.held();
        move(state.close());
        ledger.drop(call, this);
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
        move(state.settle(granted, unspent));
    }

    private void move(AccountState next) {
        if (!next.addsUp()) {
            String detail = "retry account of " + call + " doesn't add up: " + next + "; report this line";
            ledger.countViolation(call, detail);
            throw new RetryInvariantException(detail);
        }
        state = next;
    }
}
