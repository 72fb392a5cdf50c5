package io.beryldock.retry;

import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;

/**
 * Decides whether a call is tried again.
 *
 * <p>A retry goes to a different target, only after NOT_RUN, or after UNKNOWN when the route is idempotent and the time
 * left covers what an attempt is expected to take. Pure: the same question has the same decision. Whether a retry is
 * also allowed, by the account of the call and the budget of the services, is asked afterwards. Stateless, thread safe.
 */
public final class RetryPolicy {

    /** Full targets that are asked before the service is held to be full. */
    static final int MAX_FULL_REFUSALS = 2;

    private RetryPolicy() {}

    public static RetryPolicy create() {
        return new RetryPolicy();
    }

    public RetryDecision decide(RetryQuestion q) {
        if (q.result().outcome() == Outcome.ANSWERED) {
            return RetryDecision.STOP_ANSWERED;
        }
        Reason reason = q.result().reason().orElseThrow();
        return q.result().outcome() == Outcome.UNKNOWN ? decideUnknown(q, reason) : decideByReason(q, reason);
    }

    /** A suspect that may have run may have crashed its target: sending it to the next one is left to its caller. */
    private static RetryDecision decideUnknown(RetryQuestion q, Reason reason) {
        if (!q.idempotent()) {
            return RetryDecision.STOP_MAY_HAVE_RUN;
        }
        return q.suspect() ? RetryDecision.STOP_SUSPECT : decideByReason(q, reason);
    }

    private static RetryDecision decideByReason(RetryQuestion q, Reason reason) {
        if (!helpsElsewhere(reason)) {
            return RetryDecision.STOP_USELESS;
        }
        if (q.fullRefusals() >= MAX_FULL_REFUSALS) {
            return RetryDecision.STOP_SERVICE_FULL;
        }
        if (q.otherTargets() == 0) {
            return RetryDecision.STOP_NO_OTHER_TARGET;
        }
        return q.remainingNanos() < q.expectedNanos() || q.remainingNanos() <= 0
                ? RetryDecision.STOP_NO_TIME
                : RetryDecision.RETRY_ELSEWHERE;
    }

    /** Whether the refusal came from a full target, which counts towards {@link RetryQuestion#fullRefusals}. */
    public static boolean isFullRefusal(Reason reason) {
        return switch (reason) {
            case SHED_AT_TARGET, QUEUED_TOO_LONG, TARGET_REFUSED -> true;
            default -> false;
        };
    }

    private static boolean helpsElsewhere(Reason reason) {
        return switch (reason) {
            case SHED_AT_TARGET, QUEUED_TOO_LONG, TARGET_REFUSED -> true;
            case DRAINING, NO_TARGET, CONNECT_FAILED, CONNECTION_LOST, TIMED_OUT, INTERNAL -> true;
            default -> false;
        };
    }
}
