package io.beryldock.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.Call;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class UsualTimesTest {

    private static final long SHORT = Duration.ofMillis(40).toNanos();
    private static final CallKind VIEW = new CallKind(Call.OUTSIDE, "view");
    private static final CallKind PLAN = new CallKind(Call.OUTSIDE, "plan");

    private final UsualTimes usual = new UsualTimes();

    /** Guards against a target that seems slow because it got calls of a kind that takes ten times as long. */
    @Test
    void kindsDoNotMix() {
        for (int i = 0; i < 100; i++) {
            usual.onLatency(PLAN, SHORT);
            usual.onLatency(VIEW, 10 * SHORT);
        }
        assertThat(usual.relative(PLAN, SHORT)).isEqualTo(1);
        assertThat(usual.relative(VIEW, 10 * SHORT)).isEqualTo(1);
        assertThat(usual.relative(PLAN, 3 * SHORT)).isEqualTo(3);
        assertThat(usual.slowestNanos()).isEqualTo(10.0 * SHORT);
    }

    @Test
    void oneAnswerCountsOnlySoMuch() {
        usual.onLatency(PLAN, SHORT);
        assertThat(usual.relative(PLAN, 1000 * SHORT)).isEqualTo(20);
        assertThat(usual.relative(VIEW, SHORT)).isEqualTo(1);
    }

    /** Guards against paths that differ with each call and would fill the memory. */
    @Test
    void kindsBeyondTheBoundShareAPlace() {
        for (int i = 0; i < 3 * UsualTimes.MAX_KINDS; i++) {
            usual.onLatency(new CallKind(Call.OUTSIDE, "p" + i), SHORT);
        }
        assertThat(usual.kinds()).isEqualTo(UsualTimes.MAX_KINDS + 1);
    }
}
