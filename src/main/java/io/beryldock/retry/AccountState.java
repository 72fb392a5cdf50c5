package io.beryldock.retry;

/**
 * Balance of one retry account: what became of the allowance it was opened with.
 *
 * <p>Immutable. Invariant: no component is negative, and all others sum to {@code opened}.
 *
 * @param opened retries that the account was opened with, the allowance of the call
 * @param held retries that can still be spent or granted
 * @param spent retries that this node has made for inner calls of the call
 * @param outstanding retries granted to child attempts and not settled yet
 * @param lost retries granted to child attempts that were not given back: spent there, or the answer was lost or late
 * @param returned unspent retries returned to the parent with the call's answer
 */
public record AccountState(int opened, int held, int spent, int outstanding, int lost, int returned) {

    static AccountState open(int allowance) {
        return new AccountState(allowance, allowance, 0, 0, 0, 0);
    }

    boolean isBalanced() {
        boolean nonNegative = held >= 0 && spent >= 0 && outstanding >= 0 && lost >= 0 && returned >= 0;
        return nonNegative && held + spent + outstanding + lost + returned == opened;
    }

    AccountState spendOne() {
        return new AccountState(opened, held - 1, spent + 1, outstanding, lost, returned);
    }

    AccountState grant(int amount) {
        return new AccountState(opened, held - amount, spent, outstanding + amount, lost, returned);
    }

    /** Settles a grant of which {@code unspent} retries come back; the others were spent by the child or lost. */
    AccountState settle(int granted, int unspent) {
        int consumed = granted - unspent;
        return new AccountState(opened, held + unspent, spent, outstanding - granted, lost + consumed, returned);
    }

    AccountState close() {
        return new AccountState(opened, 0, spent, 0, lost + outstanding, returned + held);
    }
}
