package io.beryldock.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class SpillShareTest {

    private static final long STEP_NANOS = Duration.ofMillis(10).toNanos();

    private final SpillShare share = new SpillShare(0, new QueueWaitEstimator(1));
    private long now;

    private double recordAnswers(Duration time, double localPressure, double remotePressure) {
        long end = now + time.toNanos();
        while (now < end) {
            now += STEP_NANOS;
            share.onResult(true, localPressure, now);
            share.onResult(false, remotePressure, now);
        }
        return share.value(now);
    }

    /**
     * Guards against calls that keep going to other data centres although those refuse as many: a burst reaches one
     * data centre first and all of them a second later.
     */
    @Test
    void shareFallsWhileOtherDataCentresRefuseToo() {
        assertThat(recordAnswers(Duration.ofSeconds(2), 1, 0)).isGreaterThan(0.8);
        assertThat(recordAnswers(Duration.ofSeconds(4), 1, 1)).isLessThan(0.15);
    }

    @Test
    void shareRisesWhileOnlyLocalTargetsRefuse() {
        assertThat(recordAnswers(Duration.ofSeconds(10), 0.5, 0)).isEqualTo(SpillShare.MAX);
    }
}
