package io.beryldock.timeline;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Instant;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class HybridLogicalClockTest {

    private long wall = 5_000_000;
    private final HybridLogicalClock clock = HybridLogicalClock.create(() -> Instant.ofEpochMilli(wall));

    @Test
    void timeRisesWhenTheWallClockStopsOrGoesBack() {
        HlcTime last = clock.now();
        for (int i = 0; i < 200_000; i++) {
            wall -= i % 1000 == 0 ? 1 : 0;
            HlcTime next = clock.now();
            assertThat(next.compareTo(last)).isPositive();
            last = next;
        }
    }

    @Test
    void timeIsLaterThanAnObservedTime() {
        HlcTime remote = new HlcTime(wall + 300, 9);
        assertThat(clock.observe(remote)).isTrue();
        assertThat(clock.now()).isEqualTo(new HlcTime(wall + 300, 10));
    }

    /**
     * Guards against an unreadable time line: one machine starts with its wall clock a year ahead, and every node that
     * adopts its time records events in the next year and propagates that time.
     */
    @Test
    void timeTooFarAheadIsRejected() {
        HlcTime latestAccepted = HlcTime.ofMillis(wall + HybridLogicalClock.MAX_DRIFT.toMillis());
        assertThat(clock.observe(latestAccepted)).isTrue();
        assertThat(clock.observe(HlcTime.ofMillis(latestAccepted.millis() + 1))).isFalse();
        assertThat(clock.rejected()).isEqualTo(1);
        assertThat(clock.now()).isEqualTo(new HlcTime(latestAccepted.millis(), 1));
    }

    @Property(tries = 500, seed = "41")
    void packedAndTextFormsRoundTripAndTheNextMillisecondIsLater(
            @ForAll @LongRange(min = 0, max = 4_000_000_000_000L) long millis,
            @ForAll @IntRange(min = 0, max = HlcTime.MAX_COUNTER) int counter) {
        HlcTime time = new HlcTime(millis, counter);
        assertThat(HlcTime.unpack(time.pack())).isEqualTo(time);
        assertThat(HlcTime.parse(time.toString())).isEqualTo(time);
        assertThat(time.compareTo(HlcTime.ofMillis(millis + 1))).isNegative();
    }

    @Test
    void malformedTimeIsRejected() {
        assertThatThrownBy(() -> HlcTime.parse("2026-02-09T08:00:00Z")).hasMessageContaining("INSTANT/COUNTER");
        assertThatThrownBy(() -> HlcTime.parse("noon/1")).hasMessageContaining("INSTANT/COUNTER");
    }
}
