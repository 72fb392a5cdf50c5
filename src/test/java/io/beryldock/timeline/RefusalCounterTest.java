package io.beryldock.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.ServiceName;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class RefusalCounterTest {

    private final ManualTimerService timers = ManualTimerService.create();
    private final RefusalCounter counter = RefusalCounter.create(timers.ticker());

    private void record(String service) {
        counter.record(
                Reason.SHED_AT_DOOR, PriorityClass.of("page", 3), ServiceName.of(service), ServiceName.of("outside"));
    }

    private long last(Duration length) {
        return counter.last(length).stream().mapToLong(RefusalCount::count).sum();
    }

    @Test
    void countsCoverTheRequestedTimeSpan() {
        for (int minute = 0; minute < 120; minute++) {
            record("lists");
            timers.advance(Duration.ofMinutes(1));
        }
        assertThat(last(Duration.ofMinutes(5))).isEqualTo(5);
        assertThat(last(RefusalCounter.SPAN)).isEqualTo(60);
        assertThat(last(Duration.ofDays(1))).isBetween(60L, 61L);
        timers.advance(RefusalCounter.SPAN);
        assertThat(last(RefusalCounter.SPAN)).isZero();
    }

    /** Guards against unbounded memory when callers request thousands of services that don't exist. */
    @Test
    void numberOfNamesIsBoundedAndEveryRefusalIsCounted() {
        for (int i = 0; i < 5_000; i++) {
            record("service-" + i);
        }
        assertThat(counter.last(RefusalCounter.SPAN)).hasSize(RefusalCounter.KINDS_PER_BUCKET + 1);
        assertThat(last(RefusalCounter.SPAN)).isEqualTo(5_000);
        assertThat(counter.last(RefusalCounter.SPAN))
                .anyMatch(count -> count.service().equals(RefusalCounter.OTHERS)
                        && count.count() == 5_000 - RefusalCounter.KINDS_PER_BUCKET);
    }
}
