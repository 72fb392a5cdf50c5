package io.beryldock.retry;

import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;

/**
 * Lets a retry happen or not: the policy first, then the budget of the two services, then the account of the call.
 *
 * <p>Invariant: after a decision that is no retry, account and budget are as they were.
 * Thread safe.
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

    /** Decides, and takes the retry from account and budget when it is to be made. */
    public RetryDecision ask(RetryQuestion q, RetryAccount account, RetryBudget budget) {
        RetryDecision decision = policy.decide(q);
        RetryDecision outcome = decision.isRetry() ? take(q, decision, account, budget) : decision;
        record(q, account, outcome);
        return outcome;
    }

    private static RetryDecision take(
            RetryQuestion q, RetryDecision decision, RetryAccount account, RetryBudget budget) {
        boolean budgeted = !isExemptFromBudget(q);
        if (budgeted && !budget.tryRetry(q.rank())) {
            return RetryDecision.STOP_BUDGET_SPENT;
        }
        boolean elsewhere = decision != RetryDecision.RESEND || q.otherTargets() > 0;
        if (elsewhere && account.takeRetry()) {
            return RetryDecision.RETRY_ELSEWHERE;
        }
        if (decision == RetryDecision.RESEND) {
            // The allowance bounds the targets that a request may reach; this goes to one that it has reached.
            return RetryDecision.RESEND;
        }
        if (budgeted) {
            budget.putBack();
        }
        return RetryDecision.STOP_ALLOWANCE_SPENT;
    }

    /**
     * A refusal by the node of a target, or a connection that could not be made, comes before the target hears of the
     * request. The budget protects targets from repeats, and this next try is the first that may reach one; the
     * allowance of the request still bounds it.
     *
     * <p>Guards against requests that fail while other targets are idle: of a budget that is shared by a hundred nodes
     * each has less than one retry, so that the first target that was full, leaving or starting ended the request.
     */
    private static boolean isExemptFromBudget(RetryQuestion q) {
        return q.result().outcome() == Outcome.NOT_RUN
                && q.result().reason().filter(RetryGate::isBeforeTheTarget).isPresent();
    }

    private static boolean isBeforeTheTarget(Reason reason) {
        return switch (reason) {
            case SHED_AT_TARGET, QUEUED_TOO_LONG, DRAINING, NO_TARGET, CONNECT_FAILED -> true;
            default -> false;
        };
    }

    private void record(RetryQuestion q, RetryAccount account, RetryDecision outcome) {
        switch (outcome) {
            case RETRY_ELSEWHERE, RESEND ->
                events.record(
                        EventKind.RETRY_GRANTED,
                        account.requestId(),
                        q.result().reason().map(Reason::name).orElse("ANSWERED"),
                        "");
            case STOP_ALLOWANCE_SPENT, STOP_BUDGET_SPENT ->
                events.record(
                        EventKind.RETRY_REFUSED,
                        account.requestId(),
                        outcome.name(),
                        q.result().detail());
            default -> {}
        }
    }
}
