package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LimitStrategiesTest {

    private static final double MILLI = 1e6;

    @Test
    void aimdBacksOffOnRefusalsAndRisesOnlyWhenTheLimitDelaysRequests() {
        assertThat(next(LimitStrategies.aimd(), false, 20, 20, 5, 10)).isEqualTo(18);
        assertThat(next(LimitStrategies.aimd(), false, 20, 20, 0, 10)).isEqualTo(21);
        assertThat(next(LimitStrategies.aimd(), false, 20, 5, 0, 10)).isEqualTo(20);
    }

    @Test
    void vegasLowersTheLimitWhenServiceTimesShowAQueueInTheTarget() {
        assertThat(next(LimitStrategies.vegas(), false, 60, 60, 0, 40)).isLessThan(60);
        assertThat(next(LimitStrategies.vegas(), false, 15, 15, 0, 10)).isGreaterThan(15);
    }

    @Test
    void gradientLowersTheLimitWhenServiceTimesRise() {
        assertThat(next(LimitStrategies.gradient(), false, 60, 60, 0, 40)).isLessThan(60);
        assertThat(next(LimitStrategies.gradient(), false, 60, 60, 0, 10)).isGreaterThan(60);
    }

    // The target answers five times slower than normal, with all its slots busy. A lower limit would leave slots idle
    // and slow the service down further.
    @Test
    void standardKeepsAnnouncedSlotsBusyWhenTheTargetIsSlow() {
        assertThat(next(LimitStrategies.standard(), true, 15, 15, 0, 50)).isGreaterThanOrEqualTo(15);
        assertThat(next(LimitStrategies.standard(), true, 15, 15, 2, 50)).isLessThan(15);
        assertThat(next(LimitStrategies.standard(), false, 60, 60, 0, 50)).isLessThan(60);
    }

    private static double next(
            LimitStrategy strategy, boolean announced, double limit, int peak, int refused, double meanMillis) {
        LimitWindow window =
                new LimitWindow(announced, limit, peak, 30, refused, 0, meanMillis * MILLI, 10 * MILLI, 12 * MILLI);
        return strategy.next(window);
    }
}
