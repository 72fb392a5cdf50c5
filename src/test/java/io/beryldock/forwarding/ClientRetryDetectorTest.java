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
 * Guards against starvation under overload: a caller is refused, waits as advised, retries and is refused again, while
 * later callers are served at once, because each retry is drawn like a first request.
 */
final class ClientRetryDetectorTest {

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
    private final ClientRetryDetector detector = new ClientRetryDetector(() -> now);

    private boolean isRetry(int millis) {
        return detector.elapsedNanos(ROUTE, Optional.of(Duration.ofMillis(millis))) > 0;
    }

    @Test
    void requestWithLessTimeThanUsualIsARetry() {
        assertThat(isRetry(5000)).isFalse();
        assertThat(isRetry(4700)).isTrue();
        assertThat(isRetry(4990)).isFalse();
    }

    @Test
    void shorterTimeIsUsualOnceNoCallerGivesMore() {
        isRetry(5000);
        now += Duration.ofSeconds(31).toNanos();
        assertThat(isRetry(2000)).isFalse();
        assertThat(isRetry(1700)).isTrue();
    }

    @Test
    void requestWithoutATimeIsNew() {
        isRetry(5000);
        assertThat(detector.elapsedNanos(ROUTE, Optional.empty())).isZero();
    }
}
