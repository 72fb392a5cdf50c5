package io.beryldock.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.TargetLoad;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ReportedLoadTest {

    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final ReportedLoad load = new ReportedLoad();

    private static TargetLoad report(long version, int running) {
        return new TargetLoad(version, 16, running, 0, MILLI, false, false);
    }

    @Test
    void callsSentSinceTheReportOccupyFreeSlots() {
        load.onReport(report(1, 10), 0);
        load.onSent();
        load.onSent();
        assertThat(load.free(0)).isEqualTo(4);
        load.onReport(report(2, 9), 0);
        assertThat(load.free(0)).isEqualTo(7);
    }

    /** Guards against answers that arrive out of order. */
    @Test
    void olderReportDoesNotReplaceNewerOne() {
        load.onReport(report(2, 16), 0);
        load.onReport(report(1, 0), MILLI);
        assertThat(load.free(MILLI)).isZero();
        assertThat(load.ageNanos(MILLI)).isEqualTo(MILLI);
    }

    /** Guards against calls that are sent to slots which were free a second ago. */
    @Test
    void weightOfAReportDecaysToZero() {
        load.onReport(report(1, 0), 0);
        assertThat(load.weight(0)).isEqualTo(1);
        assertThat(load.weight(ReportedLoad.MAX_AGE_NANOS / 2)).isEqualTo(0.5);
        assertThat(load.weight(ReportedLoad.MAX_AGE_NANOS)).isZero();
        assertThat(load.free(ReportedLoad.MAX_AGE_NANOS)).isZero();
    }

    @Test
    void announcedLimitAppliesWithoutAReport() {
        assertThat(load.limit(8)).isEqualTo(8);
        assertThat(load.limit(0)).isEqualTo(1);
        assertThat(load.weight(0)).isZero();
        assertThat(load.ageNanos(0)).isEqualTo(-1);
    }

    @Test
    void drainingTargetHasNoFreeSlots() {
        load.onReport(new TargetLoad(1, 16, 0, 0, MILLI, false, true), 0);
        assertThat(load.free(0)).isZero();
        assertThat(load.isDraining(0)).isTrue();
        assertThat(load.isDraining(ReportedLoad.MAX_AGE_NANOS)).isFalse();
    }
}
