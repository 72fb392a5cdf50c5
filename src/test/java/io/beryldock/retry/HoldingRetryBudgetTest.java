package io.beryldock.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class HoldingRetryBudgetTest {

    private final ManualTimerService timers = ManualTimerService.create();
    private final RetryBudget budget = RetryBudget.limitedOnArrival(timers.ticker());

    /** Guards against retries that cross the network only to be refused at each target of a service. */
    @Test
    void refusalHoldsBackItsRankAndLessImportantOnes() {
        assertThat(budget.tryRetry(2)).isTrue();
        budget.onRefused(2);
        assertThat(budget.tryRetry(1)).isTrue();
        assertThat(budget.tryRetry(2)).isFalse();
        assertThat(budget.tryRetry(3)).isFalse();
    }

    @Test
    void retriesGoOnAfterAShortTime() {
        budget.onRefused(0);
        timers.advance(HoldingRetryBudget.HOLD.minus(Duration.ofNanos(1)));
        assertThat(budget.tryRetry(7)).isFalse();
        timers.advance(Duration.ofNanos(1));
        assertThat(budget.tryRetry(7)).isTrue();
    }
}
