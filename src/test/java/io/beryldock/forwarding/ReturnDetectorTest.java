package io.beryldock.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.beryldock.call.ServiceName;
import io.beryldock.configuration.Route;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Story: under overload a reader is refused, waits as told, comes back and is refused again, while readers who came
 * later get their page at once: each return was drawn like a first request.
 */
final class ReturnDetectorTest {

    private static final Route ROUTE = new Route(
                    "/list/",
                    ImmutableSet.of(),
                    ServiceName.of("lists"),
                    "priority-2",
                    true,
                    Duration.ofSeconds(5),
                    "retries-1")
            .forHost("a.example", ImmutableList.of());

    private long now;
    private final ReturnDetector detector = new ReturnDetector(() -> now);

    private boolean returns(int millis) {
        return detector.elapsedNanos(ROUTE, Optional.of(Duration.ofMillis(millis))) > 0;
    }

    @Test
    void requestWithLessTimeThanIsUsualComesBack() {
        assertThat(returns(5000)).isFalse();
        assertThat(returns(4700)).isTrue();
        assertThat(returns(4990)).isFalse();
    }

    @Test
    void shorterTimeIsUsualOnceNobodyGivesMore() {
        returns(5000);
        now += Duration.ofSeconds(31).toNanos();
        assertThat(returns(2000)).isFalse();
        assertThat(returns(1700)).isTrue();
    }

    @Test
    void requestWithoutATimeIsNew() {
        returns(5000);
        assertThat(detector.elapsedNanos(ROUTE, Optional.empty())).isZero();
    }
}
