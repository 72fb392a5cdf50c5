package io.beryldock.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class SpillShareTest {

    private static final long STEP_NANOS = Duration.ofMillis(10).toNanos();

    private final SpillShare share = new SpillShare(0, new CentreWaits(1));
    private long now;

    private double answers(Duration time, double nearPressure, double farPressure) {
        long end = now + time.toNanos();
        while (now < end) {
            now += STEP_NANOS;
            share.onResult(true, nearPressure, now);
            share.onResult(false, farPressure, now);
        }
        return share.value(now);
    }

    /**
     * Story: a burst comes to one data centre first and to all of them a second later. Calls went on to cross over for
     * the rest of the burst, though the other data centres refused as many.
     */
    @Test
    void callsComeHomeWhileTheOthersRefuseToo() {
        assertThat(answers(Duration.ofSeconds(2), 1, 0)).isGreaterThan(0.8);
        assertThat(answers(Duration.ofSeconds(4), 1, 1)).isLessThan(0.15);
    }

    @Test
    void callsCrossOverWhileOnlyTheOwnRefuse() {
        assertThat(answers(Duration.ofSeconds(10), 0.5, 0)).isEqualTo(SpillShare.MAX);
    }
}
