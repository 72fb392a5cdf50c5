package io.beryldock.retry;

import io.beryldock.call.CallResult;

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
 * @param rank of the request, 0 is the most important
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
        int rank,
        boolean suspect) {}
