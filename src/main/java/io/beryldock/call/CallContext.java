package io.beryldock.call;

import java.util.Objects;

/**
 * Context that is propagated from a root request to all calls in its call tree.
 *
 * <p>Immutable. {@code remainingNanos} is a duration rather than a point in time, so that clocks need not agree: each
 * hop subtracts the time it has measured. {@code retryAllowance} is the share of the root's retries that is assigned to
 * this call; the shares of the whole tree never add up to more than the root's limit. {@code callerHash} is equal at
 * every node for the same caller. {@code retriedAncestor} means that a request above this call may run again, so that a
 * non-idempotent call below it needs a key of its own.
 *
 * @param root the user-visible request
 * @param parent the call whose run made this call; the root itself for a root call
 * @param depth distance from the root, which has depth 0
 * @param sunkNanos target time already spent in the tree of the root request, in nanoseconds
 * @param covered whether the entry node holds credits for the whole tree; covered calls are served before others
 * @param repeat whether an earlier attempt of the call, or of a call above it, may have reached a target
 * @param suspect whether the sender suspects the call of having crashed a target
 * @param resent whether an earlier attempt of the call itself may have reached a target; implies {@code repeat}
 */
public record CallContext(
        RequestId root,
        RequestId parent,
        PriorityClass priority,
        long remainingNanos,
        int retryAllowance,
        int depth,
        int callerHash,
        long sunkNanos,
        boolean retriedAncestor,
        boolean covered,
        boolean repeat,
        boolean suspect,
        boolean resent) {

    public CallContext {
        Objects.requireNonNull(root, "root");
        Objects.requireNonNull(parent, "parent");
        Objects.requireNonNull(priority, "priority");
    }

    /** Creates a context that is not covered by credits, not a repeat and not suspect. */
    public CallContext(
            RequestId root,
            RequestId parent,
            PriorityClass priority,
            long remainingNanos,
            int retryAllowance,
            int depth,
            int callerHash,
            long sunkNanos,
            boolean retriedAncestor) {
        this(
                root,
                parent,
                priority,
                remainingNanos,
                retryAllowance,
                depth,
                callerHash,
                sunkNanos,
                retriedAncestor,
                false,
                false,
                false,
                false);
    }

    /** Returns a copy with the covered flag. */
    public CallContext withCovered(boolean mark) {
        return with(remainingNanos, retryAllowance, mark, repeat, suspect, resent);
    }

    /** Returns a copy with the repeat flag. */
    public CallContext withRepeat(boolean mark) {
        return with(remainingNanos, retryAllowance, covered, mark, suspect, resent);
    }

    /** Returns a copy with the suspect flag. */
    public CallContext withSuspect(boolean mark) {
        return with(remainingNanos, retryAllowance, covered, repeat, mark, resent);
    }

    /** Returns a copy for an attempt, which is a repeat if an earlier attempt may have reached a target. */
    public CallContext withResent(boolean again) {
        return with(remainingNanos, retryAllowance, covered, repeat || again, suspect, again);
    }

    /** Returns a copy with the retry allowance. */
    public CallContext withRetryAllowance(int allowance) {
        return with(remainingNanos, allowance, covered, repeat, suspect, resent);
    }

    /** Returns a copy with the elapsed time subtracted from the remaining time, which does not fall below zero. */
    public CallContext afterNanos(long elapsedNanos) {
        long left = Math.max(0, remainingNanos - elapsedNanos);
        return with(left, retryAllowance, covered, repeat, suspect, resent);
    }

    private CallContext with(
            long remaining, int allowance, boolean covers, boolean repeats, boolean suspected, boolean again) {
        return new CallContext(
                root,
                parent,
                priority,
                remaining,
                allowance,
                depth,
                callerHash,
                sunkNanos,
                retriedAncestor,
                covers,
                repeats,
                suspected,
                again);
    }
}
