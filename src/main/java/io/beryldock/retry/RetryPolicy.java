package io.beryldock.retry;

import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;

/**
 * Decides whether a call is tried again.
 *
 * <p>A retry goes to another target: after NOT_RUN; after UNKNOWN when the route is idempotent; where settings allow it
 * after a failure that a target answered, when the call is idempotent and made no calls of its own. Only a refusal by a
 * target that reports free slots may be sent to the same target again. Each needs that the time left covers what an
 * attempt is expected to take. Pure: the same question has the same decision. Whether a retry is
 * also allowed, by the account of the call and the budget of the services, is asked afterwards. Immutable, thread safe.
 */
public final class RetryPolicy {

    /** Full targets that are asked before the service is held to be full. */
    static final int MAX_FULL_REFUSALS = 2;

    private static final int GATEWAY_TIMEOUT = 504;

    private final RetryPolicySettings settings;

    private RetryPolicy(RetryPolicySettings settings) {
        this.settings = settings;
    }

    public static RetryPolicy create() {
        return create(RetryPolicySettings.defaults());
    }

    public static RetryPolicy create(RetryPolicySettings settings) {
        return new RetryPolicy(settings);
    }

    public RetryDecision decide(RetryQuestion q) {
        if (q.result().outcome() == Outcome.ANSWERED) {
            return isFailedLeaf(q) ? decideElsewhere(q) : RetryDecision.STOP_ANSWERED;
        }
        Reason reason = q.result().reason().orElseThrow();
        return q.result().outcome() == Outcome.UNKNOWN ? decideUnknown(q, reason) : decideByReason(q, reason);
    }

    /** A suspect that may have run may have crashed its target: sending it to the next one is left to its caller. */
    private RetryDecision decideUnknown(RetryQuestion q, Reason reason) {
        if (!q.idempotent()) {
            return RetryDecision.STOP_MAY_HAVE_RUN;
        }
        return q.suspect() ? RetryDecision.STOP_SUSPECT : decideByReason(q, reason);
    }

    /** Whether the answer is a failure of a call that may run again and that called nothing. */
    private boolean isFailedLeaf(RetryQuestion q) {
        boolean failed = q.result()
                .answer()
                .filter(answer -> answer.isServerError() && answer.status() != GATEWAY_TIMEOUT)
                .isPresent();
        boolean leaf = q.result().cost().services().size() == 1;
        return settings.failedLeaves() && failed && leaf && q.idempotent() && !q.suspect();
    }

    private RetryDecision decideByReason(RetryQuestion q, Reason reason) {
        if (!helpsElsewhere(reason)) {
            return RetryDecision.STOP_USELESS;
        }
        if (isTurnedAwayWithRoom(q, reason)) {
            return hasTime(q) ? RetryDecision.RESEND : RetryDecision.STOP_NO_TIME;
        }
        return decideElsewhere(q);
    }

    private boolean isTurnedAwayWithRoom(RetryQuestion q, Reason reason) {
        boolean room = q.result().load().filter(load -> load.free() > 0).isPresent();
        return reason == Reason.TARGET_REFUSED && room && q.tries() <= settings.resends();
    }

    private static boolean hasTime(RetryQuestion q) {
        return q.remainingNanos() > 0 && q.remainingNanos() >= q.expectedNanos();
    }

    private static RetryDecision decideElsewhere(RetryQuestion q) {
        if (q.fullRefusals() >= MAX_FULL_REFUSALS) {
            return RetryDecision.STOP_SERVICE_FULL;
        }
        if (q.otherTargets() == 0) {
            return RetryDecision.STOP_NO_OTHER_TARGET;
        }
        return hasTime(q) ? RetryDecision.RETRY_ELSEWHERE : RetryDecision.STOP_NO_TIME;
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
