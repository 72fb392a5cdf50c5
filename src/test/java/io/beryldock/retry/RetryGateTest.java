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

/** The retries of 95 nodes that share what a deployment allows: a fifth of first tries and 124 in ten seconds. */
final class RetryGateTest {

    private static final int NODES = 95;
    private static final int TARGETS = 30;
    private static final int ROUNDS = 10;
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final double SLACK_OF_A_NODE = 62.0 / NODES;
    private static final RetryBudgetSettings SETTINGS =
            new RetryBudgetSettings(0.02, SLACK_OF_A_NODE / 10, SLACK_OF_A_NODE, WINDOW);

    private final ManualTimerService timers = ManualTimerService.create();
    private final RequestIds ids = RequestIds.of(Incarnation.random(new Random(1)));
    private final RetryLedger ledger = RetryLedger.create();
    private final RetryGate gate = RetryGate.create(RetryPolicy.create(), EventSink.none());
    private final Random random = new Random(7);

    private boolean isTriedElsewhere(CallResult refusal, RetryBudget budget) {
        RetryQuestion question = new RetryQuestion(
                refusal, true, 1, 1, TARGETS - 1, Duration.ofSeconds(1).toNanos(), 0, 0, false);
        RetryAccount account = ledger.open(ids.next(), 1);
        boolean retried = gate.ask(question, account, budget).isRetry();
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

    /** Requests that met the reason at a target, and how many of them were tried at another one. */
    private double shareTriedElsewhere(Reason reason) {
        int met = 0;
        int tried = 0;
        List<RetryBudget> budgets = budgets();
        for (int round = 0; round < ROUNDS; round++) {
            for (RetryBudget budget : budgets) {
                budget.onFirstTry();
                boolean full = random.nextInt(TARGETS) < TARGETS / 10;
                met += full ? 1 : 0;
                tried += full && isTriedElsewhere(CallResult.notRun(reason, ""), budget) ? 1 : 0;
            }
            timers.advance(Duration.ofMillis(700));
        }
        assertThat(met).isPositive();
        return (double) tried / met;
    }

    /**
     * Story: a page fails with 503 while nine targets in ten of the service have room. One inner call met a full
     * target; its node's part of the retries that 95 nodes share is less than one, so it was not tried elsewhere.
     */
    @Test
    void refusalOfAGateIsTriedElsewhereWhateverTheBudget() {
        assertThat(shareTriedElsewhere(Reason.SHED_AT_TARGET)).isEqualTo(1);
        assertThat(shareTriedElsewhere(Reason.QUEUED_TOO_LONG)).isEqualTo(1);
    }

    /**
     * Story: pages fail for two seconds after each restart of a node. Until its target's next heartbeat the node says
     * that it has no target, or takes no connection yet, and nobody asked another one.
     */
    @Test
    void startingOrAbsentNodeIsPassedOverWhateverTheBudget() {
        assertThat(shareTriedElsewhere(Reason.NO_TARGET)).isEqualTo(1);
        assertThat(shareTriedElsewhere(Reason.CONNECT_FAILED)).isEqualTo(1);
        assertThat(shareTriedElsewhere(Reason.DRAINING)).isEqualTo(1);
    }

    /** What reached a target may be work for it, so that the deployment's budget binds. */
    @Test
    void whatMayHaveReachedATargetIsPaidFromTheBudget() {
        assertThat(shareTriedElsewhere(Reason.TARGET_REFUSED)).isLessThan(0.1);
        CallResult lost = CallResult.unknown(Reason.CONNECTION_LOST, "");
        assertThat(isTriedElsewhere(lost, budgets().get(0))).isFalse();
    }

    /** The allowance of the request bounds its tries also where the budget does not. */
    @Test
    void allowanceOfTheRequestStillBinds() {
        RetryAccount account = ledger.open(ids.next(), 1);
        RetryQuestion question = new RetryQuestion(
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
        assertThat(gate.ask(question, account, budget)).isEqualTo(RetryDecision.RETRY_ELSEWHERE);
        assertThat(gate.ask(question, account, budget)).isEqualTo(RetryDecision.STOP_ALLOWANCE_SPENT);
    }
}
