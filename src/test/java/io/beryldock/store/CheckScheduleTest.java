package io.beryldock.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class CheckScheduleTest {

    private static final long STEP = Duration.ofMillis(200).toNanos();

    private final CheckSchedule schedule = new CheckSchedule(0, new Random(1));
    private long now;

    /** Number of checks begun within the time, none of which is answered. */
    private int begunWithin(Duration length, boolean watcher) {
        int begun = 0;
        for (long end = now + length.toNanos(); now < end; now += STEP) {
            if (schedule.mayBegin(now)) {
                schedule.onBegun(now, watcher);
                begun++;
            }
        }
        return begun;
    }

    /** Guards against a node that waits for the time-out of a dead connection before it asks the store again. */
    @Test
    void checkThatHangsIsNotWaitedFor() {
        assertThat(begunWithin(Duration.ofSeconds(1), false)).isEqualTo(3);
    }

    /** Guards against an outage in which the checks of all nodes keep the store from recovering. */
    @Test
    void silentStoreIsCheckedLessOften() {
        assertThat(begunWithin(Duration.ofSeconds(16), false)).isBetween(8, 16);
    }

    @Test
    void everyThreeSecondsOfAnOutageHaveACheck() {
        begunWithin(Duration.ofSeconds(2), false);
        for (int i = 0; i < 50; i++) {
            assertThat(begunWithin(Duration.ofSeconds(3), false)).isPositive();
        }
    }

    @Test
    void answerEndsTheOutage() {
        begunWithin(Duration.ofSeconds(16), true);
        schedule.onAnswered();
        now += Duration.ofSeconds(3).toNanos();
        assertThat(begunWithin(Duration.ofMillis(800), true)).isEqualTo(2);
    }
}
