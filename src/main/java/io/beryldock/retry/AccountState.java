package io.beryldock.retry;

/**
 * Where the retries of one account are.
 *
 * <p>Immutable. Invariant: no part is negative and the parts sum to {@code opened}.
 *
 * @param opened the allowance that came with the call
 * @param held still here and free to use
 * @param spent retries made by this node for inner calls of the call
 * @param outstanding granted to child attempts that have not been settled
 * @param lost granted and never to come back
 * @param returned given back to the parent with the call's answer
 */
public record AccountState(int opened, int held, int spent, int outstanding, int lost, int returned) {

    static AccountState open(int allowance) {
        return new AccountState(allowance, allowance, 0, 0, 0, 0);
    }

    boolean addsUp() {
        boolean positive = held >= 0 && spent >= 0 && outstanding >= 0 && lost >= 0 && returned >= 0;
        return positive && held + spent + outstanding + lost + returned == opened;
    }

    AccountState spendOne() {
        return new AccountState(opened, held - 1, spent + 1, outstanding, lost, returned);
    }

    AccountState grant(int part) {
        return new AccountState(opened, held - part, spent, outstanding + part, lost, returned);
    }

    /** A child of which {@code used} retries are gone for good, spent beneath or lost on the way. */
    AccountState settle(int granted, int unspent) {
        int gone = granted - unspent;
        return new AccountState(opened, held + unspent, spent, outstanding - granted, lost + gone, returned);
    }

    AccountState close() {
        return new AccountState(opened, 0, spent, 0, lost + outstanding, returned + held);
    }
}
