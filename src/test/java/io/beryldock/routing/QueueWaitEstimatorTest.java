package io.beryldock.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.TargetLoad;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class QueueWaitEstimatorTest {

    private static final int SLOTS = 100;
    private static final long MEAN = Duration.ofMillis(300).toNanos();
    private static final long CROSSING = Duration.ofMillis(10).toNanos();
    private static final long LATER = Duration.ofSeconds(10).toNanos();

    private final QueueWaitEstimator estimator = new QueueWaitEstimator(CROSSING);
    private long now = LATER;
    private long version;

    private void report(boolean local, int running) {
        estimator.onReport(local, new TargetLoad(++version, SLOTS, running, 0, MEAN, false, false), now);
    }

    private double adjustmentAt(int localRunning, int remoteRunning) {
        now += LATER;
        report(true, localRunning);
        report(false, remoteRunning);
        return estimator.adjustment(0.3, now);
    }

    /** With 96, 91 and 80 of 100 slots busy the estimated waits are 44, 10 and 1 ms. */
    @Test
    void shareRisesAboveTheCrossingCostAndFallsBelowHalfOfIt() {
        assertThat(adjustmentAt(96, 50)).isPositive();
        assertThat(adjustmentAt(91, 50)).isZero();
        assertThat(adjustmentAt(80, 50)).isNegative();
        assertThat(adjustmentAt(96, 96)).isNegative();
    }

    @Test
    void longerQueueChangesTheShareFaster() {
        double shorterQueue = adjustmentAt(94, 50);
        assertThat(adjustmentAt(150, 50)).isGreaterThan(shorterQueue).isEqualTo(1);
    }

    /** Guards against a data centre that gets no calls, so that its callers never learn that it has free slots. */
    @Test
    void someCallsExploreDataCentresWithoutReports() {
        report(true, 99);
        assertThat(estimator.adjustment(0, now)).isPositive();
        assertThat(estimator.adjustment(QueueWaitEstimator.EXPLORATION_SHARE, now))
                .isZero();
        assertThat(estimator.hasRecentReports(now)).isFalse();
    }

    @Test
    void outdatedReportsDoNotChangeTheShare() {
        assertThat(adjustmentAt(99, 10)).isPositive();
        assertThat(estimator.adjustment(0, now + LATER)).isZero();
        assertThat(estimator.hasRecentReports(now + LATER)).isFalse();
    }
}
