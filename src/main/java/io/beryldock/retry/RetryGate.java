package io.beryldock.retry;

import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;

/**
 * Admits or denies a retry: checks the policy first, then the retry budget, then the account of the call.
 *
 * <p>Invariant: a denied retry leaves account and budget unchanged. Thread safe.
 */
public final class RetryGate {

    private final RetryPolicy policy;
    private final EventSink events;

    private RetryGate(RetryPolicy policy, EventSink events) {
        this.policy = policy;
        this.events = events;
    }

    public static RetryGate create(RetryPolicy policy, EventSink events) {
        return new RetryGate(policy, events);
    }

    /** Decides whether to retry and, if so, takes the retry from account and budget. */
    public RetryDecision decide(EndedAttempt attempt, RetryAccount account, RetryBudget budget) {
        RetryDecision decision = policy.decide(attempt);
        RetryDecision outcome = decision.isRetry() ? takeRetry(attempt, decision, account, budget) : decision;
        record(attempt, account, outcome);
        return outcome;
    }

    private static RetryDecision takeRetry(
            EndedAttempt attempt, RetryDecision decision, RetryAccount account, RetryBudget budget) {
        boolean budgeted = !isExemptFromBudget(attempt);
        if (budgeted && !budget.tryRetry(attempt.rank())) {
            return RetryDecision.STOP_BUDGET_SPENT;
        }
        boolean hasOtherTarget = decision != RetryDecision.RESEND || attempt.otherTargets() > 0;
        if (hasOtherTarget && account.takeRetry()) {
            return RetryDecision.RETRY_ELSEWHERE;
        }
        if (decision == RetryDecision.RESEND) {
            // The allowance limits the number of further targets of a request; a resend goes to the same target.
            return RetryDecision.RESEND;
        }
        if (budgeted) {
            budget.refund();
        }
        return RetryDecision.STOP_ALLOWANCE_SPENT;
    }

    /**
     * Whether the attempt ended before it reached its target, so that a retry is not charged to the budget.
     *
     * <p>That is the case when the target's node refused the attempt or no connection could be made. The budget
     * protects targets from repeated calls, but the next attempt is the first that may reach one. The allowance of the
     * request still limits such retries.
     *
     * <p>Guards against requests that fail while other targets are idle: when a hundred nodes share a budget, each has
     * less than one retry, so that the first target that is full, leaving or starting would end the request.
     */
    private static boolean isExemptFromBudget(EndedAttempt attempt) {
        return !mayHaveArrived(attempt.result());
    }

    /** Whether the attempt with this result may have reached its target, which may have rejected it. */
    public static boolean mayHaveArrived(CallResult ended) {
        return ended.outcome() != Outcome.NOT_RUN
                || ended.reason().filter(RetryGate::isRefusedBeforeTarget).isEmpty();
    }

    private static boolean isRefusedBeforeTarget(Reason reason) {
        return switch (reason) {
            case SHED_AT_TARGET, QUEUED_TOO_LONG, RATE_LIMITED, REPEATS_LIMITED, DRAINING, NO_TARGET, CONNECT_FAILED ->
                true;
            default -> false;
        };
    }

    private void record(EndedAttempt attempt, RetryAccount account, RetryDecision outcome) {
        switch (outcome) {
            case RETRY_ELSEWHERE, RESEND ->
                events.record(
                        EventKind.RETRY_GRANTED,
                        account.requestId(),
                        attempt.result().reason().map(Reason::name).orElse("ANSWERED"),
                        "");
            case STOP_ALLOWANCE_SPENT, STOP_BUDGET_SPENT ->
                events.record(
                        EventKind.RETRY_REFUSED,
                        account.requestId(),
                        outcome.name(),
                        attempt.result().detail());
            default -> {}
        }
    }
}
