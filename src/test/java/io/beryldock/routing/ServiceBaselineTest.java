package io.beryldock.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.Call;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ServiceBaselineTest {

    private static final long SHORT = Duration.ofMillis(40).toNanos();
    private static final CallKind VIEW = new CallKind(Call.OUTSIDE, "view");
    private static final CallKind PLAN = new CallKind(Call.OUTSIDE, "plan");

    private final ServiceBaseline baseline = new ServiceBaseline();

    /** Guards against a target that looks slow because it got calls of a kind that takes ten times as long. */
    @Test
    void kindsAreAveragedSeparately() {
        for (int i = 0; i < 100; i++) {
            baseline.onLatency(PLAN, SHORT);
            baseline.onLatency(VIEW, 10 * SHORT);
        }
        assertThat(baseline.relativeLatency(PLAN, SHORT)).isEqualTo(1);
        assertThat(baseline.relativeLatency(VIEW, 10 * SHORT)).isEqualTo(1);
        assertThat(baseline.relativeLatency(PLAN, 3 * SHORT)).isEqualTo(3);
        assertThat(baseline.slowestNanos()).isEqualTo(10.0 * SHORT);
    }

    @Test
    void relativeLatencyOfOneAnswerIsLimited() {
        baseline.onLatency(PLAN, SHORT);
        assertThat(baseline.relativeLatency(PLAN, 1000 * SHORT)).isEqualTo(20);
        assertThat(baseline.relativeLatency(VIEW, SHORT)).isEqualTo(1);
    }

    /** Guards against unbounded memory use when each call has another path. */
    @Test
    void kindsBeyondTheLimitShareAnEntry() {
        for (int i = 0; i < 3 * ServiceBaseline.MAX_KINDS; i++) {
            baseline.onLatency(new CallKind(Call.OUTSIDE, "p" + i), SHORT);
        }
        assertThat(baseline.kinds()).isEqualTo(ServiceBaseline.MAX_KINDS + 1);
    }
}
