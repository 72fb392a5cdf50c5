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
        if (!q.reachedTarget()) {
            return RetryDecision.RETRY_ELSEWHERE;
        }
        if (!budget.tryRetry()) {
            return RetryDecision.STOP_BUDGET_SPENT;
        }
        if (account.takeRetry()) {
            return RetryDecision.RETRY_ELSEWHERE;
        }
        budget.putBack();
        return RetryDecision.STOP_ALLOWANCE_SPENT;
    }

    private static String cause(RetryQuestion q) {
        return q.result().reason().map(Reason::name).orElse("ANSWERED");
    }

    private void record(RetryQuestion q, RetryAccount account, RetryDecision outcome) {
        switch (outcome) {
            case RETRY_ELSEWHERE -> events.record(EventKind.RETRY_GRANTED, account.requestId(), cause(q), "");
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
