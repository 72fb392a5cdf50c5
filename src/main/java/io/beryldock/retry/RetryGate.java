package io.beryldock.retry;

import io.beryldock.call.Reason;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;

/**
 * Lets a retry happen or not: the policy first, then the budget of the two services, then the account of the call.
 *
 * <p>Invariant: after any decision but {@link RetryDecision#RETRY_ELSEWHERE}, account and budget are as they were.
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
        RetryDecision outcome = decision.isRetry() ? take(q, account, budget) : decision;
        record(q, account, outcome);
        return outcome;
    }

    private static RetryDecision take(RetryQuestion q, RetryAccount account, RetryBudget budget) {
        boolean budgeted = !isExemptFromBudget(q);
        if (budgeted && !budget.tryRetry()) {
            return RetryDecision.STOP_BUDGET_SPENT;
        }
        if (account.takeRetry()) {
            return RetryDecision.RETRY_ELSEWHERE;
        }
        if (budgeted) {
            budget.putBack();
        }
        return RetryDecision.STOP_ALLOWANCE_SPENT;
    }

    /**
     * A target that is leaving refuses before any work is done, and for a few seconds only, until all nodes know of it.
     * Such a refusal is no sign of an outage; counting it would fail requests during a rolling restart. The allowance
     * of the request still bounds it.
     */
    private static boolean isExemptFromBudget(RetryQuestion q) {
        return q.result().reason().filter(Reason.DRAINING::equals).isPresent();
    }

    private void record(RetryQuestion q, RetryAccount account, RetryDecision outcome) {
        switch (outcome) {
            case RETRY_ELSEWHERE ->
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
