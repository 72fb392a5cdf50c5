package io.beryldock.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.CallResult;
import io.beryldock.call.Incarnation;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestIds;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Retries of 95 nodes that share the limit of a deployment: a fifth of first attempts plus 124 in ten seconds. */
final class RetryGateTest {

    private static final int NODES = 95;
    private static final int TARGETS = 30;
    private static final int ROUNDS = 10;
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double FLOOR_OF_A_NODE = 62.0 / NODES;
    private static final RetryBudgetSettings SETTINGS =
            new RetryBudgetSettings(0.02, FLOOR_OF_A_NODE / 10, FLOOR_OF_A_NODE, WINDOW);

    private final ManualTimerService timers = ManualTimerService.create();
    private final RequestIds ids = RequestIds.of(Incarnation.random(new Random(1)));
    private final RetryLedger ledger = RetryLedger.create();
    private final RetryGate gate = RetryGate.create(RetryPolicy.create(), EventSink.none());
    private final Random random = new Random(7);

    private boolean isRetriedElsewhere(CallResult refusal, RetryBudget budget) {
        EndedAttempt question = new EndedAttempt(
                refusal, true, 1, 1, TARGETS - 1, Duration.ofSeconds(1).toNanos(), 0, 0, false);
        RetryAccount account = ledger.open(ids.next(), 1);
        boolean retried = gate.decide(question, account, budget).isRetry();
        account.close();
        return retried;
    }

    private List<RetryBudget> budgets() {
        List<RetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            budgets.add(TokenRetryBudget.create(timers.ticker(), SETTINGS));
        }
        return budgets;
    }

    /** Share of the requests refused for the reason that are retried at another target. */
    private double shareRetriedElsewhere(Reason reason) {
        int refused = 0;
        int retried = 0;
        List<RetryBudget> budgets = budgets();
        for (int round = 0; round < ROUNDS; round++) {
            for (RetryBudget budget : budgets) {
                budget.onFirstTry();
                boolean full = random.nextInt(TARGETS) < TARGETS / 10;
                refused += full ? 1 : 0;
                retried += full && isRetriedElsewhere(CallResult.notRun(reason, ""), budget) ? 1 : 0;
            }
            timers.advance(Duration.ofMillis(700));
        }
        assertThat(refused).isPositive();
        return (double) retried / refused;
    }

    /**
     * Guards against requests that fail with 503 although nine in ten targets of a service have free slots: an inner
     * call is refused by a full target, and since the budget shared by 95 nodes leaves each node less than one retry,
     * the call is not sent to another target.
     */
    @Test
    void refusalByAGateIsRetriedElsewhereRegardlessOfTheBudget() {
        assertThat(shareRetriedElsewhere(Reason.SHED_AT_TARGET)).isEqualTo(1);
        assertThat(shareRetriedElsewhere(Reason.QUEUED_TOO_LONG)).isEqualTo(1);
    }

    /**
     * Guards against requests that fail for two seconds after each restart of a node: until the next heartbeat of its
     * target the node refuses connections or answers that it has no target, and the calls are not sent to another
     * target.
     */
    @Test
    void startingOrAbsentTargetIsSkippedRegardlessOfTheBudget() {
        assertThat(shareRetriedElsewhere(Reason.NO_TARGET)).isEqualTo(1);
        assertThat(shareRetriedElsewhere(Reason.CONNECT_FAILED)).isEqualTo(1);
        assertThat(shareRetriedElsewhere(Reason.DRAINING)).isEqualTo(1);
    }

    /** A call that may have reached a target may have added load there, so its retry is charged to the budget. */
    @Test
    void callThatMayHaveReachedATargetIsChargedToTheBudget() {
        assertThat(shareRetriedElsewhere(Reason.TARGET_REFUSED)).isLessThan(0.1);
        CallResult lost = CallResult.unknown(Reason.CONNECTION_LOST, "");
        assertThat(isRetriedElsewhere(lost, budgets().get(0))).isFalse();
    }

    /** The allowance of the request limits its attempts also where the budget does not apply. */
    @Test
    void allowanceOfTheRequestStillLimitsRetries() {
        RetryAccount account = ledger.open(ids.next(), 1);
        EndedAttempt question = new EndedAttempt(
                CallResult.notRun(Reason.SHED_AT_TARGET, ""),
                true,
                1,
                1,
                TARGETS - 1,
                Duration.ofSeconds(1).toNanos(),
                0,
                0,
                false);
        RetryBudget budget = budgets().get(0);
        assertThat(gate.decide(question, account, budget)).isEqualTo(RetryDecision.RETRY_ELSEWHERE);
        assertThat(gate.decide(question, account, budget)).isEqualTo(RetryDecision.STOP_ALLOWANCE_SPENT);
    }
}
