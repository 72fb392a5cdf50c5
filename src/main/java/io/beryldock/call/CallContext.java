package io.beryldock.call;

import java.util.Objects;

/**
 * What a call carries from its root request down the tree.
 *
 * <p>Immutable. {@code remainingNanos} is a duration, never a wall clock: each hop takes off what it has measured.
 * {@code retryAllowance} is the part of the root's retries handed to this call; parts over the whole tree never sum to
 * more than the root's bound. {@code callerHash} is equal at every node for one caller. {@code retriedAncestor} tells
 * that a request above may run again, so that a non-idempotent call beneath needs a key of its own.
 *
 * @param root the user-visible request
 * @param parent the call within whose run this one was made, the root itself for a root call
 * @param depth 0 for the root
 * @param sunkNanos target time already spent in the tree for the root request
 * @param covered whether its entry holds credits for the whole tree, so that it is served before what is not covered
 * @param repeat whether the run that makes the call repeats an earlier one, which made the same call
 * @param suspect whether its sender holds it for one that may have crashed a target
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
        boolean suspect) {

    public CallContext {
        Objects.requireNonNull(root, "root");
        Objects.requireNonNull(parent, "parent");
        Objects.requireNonNull(priority, "priority");
    }

    /** A context whose tree is not covered by credits. */
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
                false);
    }

    /** The same context, covered by credits or not. */
    public CallContext withCovered(boolean mark) {
        return with(remainingNanos, retryAllowance, mark, repeat, suspect);
    }

    /** The same context, of a repeated call or not. */
    public CallContext withRepeat(boolean mark) {
        return with(remainingNanos, retryAllowance, covered, mark, suspect);
    }

    /** The same context, of a call that may have crashed a target or not. */
    public CallContext withSuspect(boolean mark) {
        return with(remainingNanos, retryAllowance, covered, repeat, mark);
    }

    /** The same context with another part of the root's retries. */
    public CallContext withRetryAllowance(int allowance) {
        return with(remainingNanos, allowance, covered, repeat, suspect);
    }

    /** The same context with less time left; never below zero. */
    public CallContext afterNanos(long elapsedNanos) {
        long left = Math.max(0, remainingNanos - elapsedNanos);
        return with(left, retryAllowance, covered, repeat, suspect);
    }

    private CallContext with(long remaining, int allowance, boolean covers, boolean repeats, boolean suspected) {
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
                suspected);
    }
}
