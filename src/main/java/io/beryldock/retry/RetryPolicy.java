package io.beryldock.retry;

import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;

/**
 * Decides whether a call is worth a retry.
 *
 * <p>A call is retried at another target after NOT_RUN, and after UNKNOWN if the route is idempotent. If the settings
 * allow it, an idempotent call that made no inner calls is also retried after a server error. A call is sent to the
 * same target again only if that target refused it while reporting free slots. In each case the remaining time must
 * cover the expected duration of an attempt. The decision depends only on the attempt and the settings;
 * {@link RetryGate} checks afterwards whether the account of the call and the retry budget allow the retry. Immutable,
 * thread safe.
 */
public final class RetryPolicy {

    /** Refusals by full targets after which the whole service is taken to be full. */
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

    public RetryDecision decide(EndedAttempt attempt) {
        if (attempt.result().outcome() == Outcome.ANSWERED) {
            return isFailedLeaf(attempt) ? decideElsewhere(attempt) : RetryDecision.STOP_ANSWERED;
        }
        Reason reason = attempt.result().reason().orElseThrow();
        return attempt.result().outcome() == Outcome.UNKNOWN
                ? decideUnknown(attempt, reason)
                : decideByReason(attempt, reason);
    }

    /** A suspect request that may have run may also have crashed its target, so only its caller may send it again. */
    private RetryDecision decideUnknown(EndedAttempt attempt, Reason reason) {
        if (!attempt.idempotent()) {
            return RetryDecision.STOP_MAY_HAVE_RUN;
        }
        return attempt.suspect() ? RetryDecision.STOP_SUSPECT : decideByReason(attempt, reason);
    }

    /** Whether the answer is a server error of an idempotent call that made no inner calls. */
    private boolean isFailedLeaf(EndedAttempt attempt) {
        boolean failed = attempt.result()
                .answer()
                .filter(answer -> answer.isServerError() && answer.status() != GATEWAY_TIMEOUT)
                .isPresent();
        boolean leaf = attempt.result().cost().services().size() == 1;
        return settings.failedLeaves() && failed && leaf && attempt.idempotent() && !attempt.suspect();
    }

    private RetryDecision decideByReason(EndedAttempt attempt, Reason reason) {
        if (!mayHelpElsewhere(reason)) {
            return RetryDecision.STOP_USELESS;
        }
        if (isRefusedDespiteFreeSlots(attempt, reason)) {
            return hasTime(attempt) ? RetryDecision.RESEND : RetryDecision.STOP_NO_TIME;
        }
        return decideElsewhere(attempt);
    }

    private boolean isRefusedDespiteFreeSlots(EndedAttempt attempt, Reason reason) {
        boolean hasFreeSlots =
                attempt.result().load().filter(load -> load.freeSlots() > 0).isPresent();
        return reason == Reason.TARGET_REFUSED && hasFreeSlots && attempt.tries() <= settings.resends();
    }

    private static boolean hasTime(EndedAttempt attempt) {
        return attempt.remainingNanos() > 0 && attempt.remainingNanos() >= attempt.expectedNanos();
    }

    private static RetryDecision decideElsewhere(EndedAttempt attempt) {
        if (attempt.fullRefusals() >= MAX_FULL_REFUSALS) {
            return RetryDecision.STOP_SERVICE_FULL;
        }
        if (attempt.otherTargets() == 0) {
            return RetryDecision.STOP_NO_OTHER_TARGET;
        }
        return hasTime(attempt) ? RetryDecision.RETRY_ELSEWHERE : RetryDecision.STOP_NO_TIME;
    }

    /** Whether the reason means that a target was full, which counts towards {@link EndedAttempt#fullRefusals}. */
    public static boolean isFullRefusal(Reason reason) {
        return switch (reason) {
            case SHED_AT_TARGET, QUEUED_TOO_LONG, RATE_LIMITED, REPEATS_LIMITED, TARGET_REFUSED -> true;
            default -> false;
        };
    }

    private static boolean mayHelpElsewhere(Reason reason) {
        return switch (reason) {
            case SHED_AT_TARGET, QUEUED_TOO_LONG, RATE_LIMITED, REPEATS_LIMITED, TARGET_REFUSED -> true;
            case DRAINING, NO_TARGET, CONNECT_FAILED, CONNECTION_LOST, TIMED_OUT, INTERNAL -> true;
            default -> false;
        };
    }
}
