package io.beryldock.credit;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.TargetLoad;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class GateReporterTest {

    private final ManualTimerService timers = ManualTimerService.create();
    private final List<GateLoad> sent = new ArrayList<>();
    private TargetLoad load = load(0, 0);

    private static TargetLoad load(int running, int queued) {
        return new TargetLoad(1, 100, running, queued, 66_000_000, false, false);
    }

    private GateReporter reporter(boolean enabled) {
        return new GateReporter(enabled, timers, () -> Optional.of(new GateLoad(CreditFleet.SCARCE, load)), sent::add);
    }

    private void changeLoad(GateReporter reporter, int running, int queued) {
        load = load(running, queued);
        reporter.onLoad(load);
    }

    /** Guards against messages and timers of gates that have free capacity. */
    @Test
    void gateWithFreeCapacityIsSilent() {
        changeLoad(reporter(true), 80, 0);
        assertThat(timers.nextDue()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void nearlyFullGateReportsUntilASecondAfter() {
        GateReporter reporter = reporter(true);
        changeLoad(reporter, 100, 3);
        timers.advance(Duration.ofSeconds(1));
        assertThat(sent).hasSizeGreaterThan(10);
        changeLoad(reporter, 40, 0);
        timers.advance(Duration.ofMillis(1100));
        int reports = sent.size();
        timers.advance(Duration.ofSeconds(5));
        assertThat(sent).hasSize(reports);
        assertThat(timers.nextDue()).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against a gate that hangs while full: it completes no call, so no result carries its load. */
    @Test
    void gateThatStaysFullReportsWithoutResults() {
        changeLoad(reporter(true), 100, 50);
        timers.advance(Duration.ofSeconds(3));
        int reports = sent.size();
        timers.advance(Duration.ofSeconds(1));
        assertThat(sent).hasSizeGreaterThan(reports);
    }

    @Test
    void disabledReporterIsSilent() {
        changeLoad(reporter(false), 100, 50);
        assertThat(timers.nextDue()).isEqualTo(Long.MAX_VALUE);
    }
}
