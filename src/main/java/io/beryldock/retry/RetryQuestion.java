package io.beryldock.retry;

import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;

/**
 * What is known when an attempt has ended without an answer.
 *
 * <p>Immutable.
 *
 * @param result how the last attempt ended
 * @param idempotent whether the route says that running it again does no harm
 * @param tries attempts made so far, at least 1
 * @param fullRefusals attempts so far that were refused by a full target
 * @param otherTargets targets of the service that were not tried yet
 * @param remainingNanos time left for the call
 * @param expectedNanos time that an attempt is expected to take
 * @param suspect whether the request was in flight when a target crashed
 */
public record RetryQuestion(
        CallResult result,
        boolean idempotent,
        int tries,
        int fullRefusals,
        int otherTargets,
        long remainingNanos,
        long expectedNanos,
        boolean suspect) {

    /**
     * Whether the attempt can have reached a target.
     *
     * <p>A refusal by the node of a target, or a connection that was never made, has cost no target anything; neither
     * the allowance nor the budget, which protect targets, pays for the next attempt.
     */
    boolean reachedTarget() {
        boolean notRun = result.outcome() == Outcome.NOT_RUN;
        return !notRun || result.reason().orElseThrow() == Reason.TARGET_REFUSED;
    }
}
