package io.beryldock.retry;

import io.beryldock.call.CallResult;

/**
 * An attempt of a call that has ended, with all that the retry decision depends on.
 *
 * <p>Immutable.
 *
 * @param result result of the attempt
 * @param idempotent whether the route is declared idempotent, so that the call may run twice
 * @param tries number of attempts made so far, at least 1
 * @param fullRefusals number of attempts so far that a full target refused
 * @param otherTargets number of targets of the service that were not tried yet
 * @param remainingNanos time left until the deadline of the call
 * @param expectedNanos expected duration of an attempt
 * @param rank priority rank of the request, 0 is the most important
 * @param suspect whether the request was in flight when a target crashed
 */
public record EndedAttempt(
        CallResult result,
        boolean idempotent,
        int tries,
        int fullRefusals,
        int otherTargets,
        long remainingNanos,
        long expectedNanos,
        int rank,
        boolean suspect) {}
