package io.beryldock.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.TargetLoad;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ReportedLoadTest {

    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final ReportedLoad known = new ReportedLoad();

    private static TargetLoad report(long version, int running) {
        return new TargetLoad(version, 16, running, 0, MILLI, false, false);
    }

    @Test
    void callsSentSinceTheReportTakeFreeSlots() {
        known.onReport(report(1, 10), 0);
        known.onSent();
        known.onSent();
        assertThat(known.free(0)).isEqualTo(4);
        known.onReport(report(2, 9), 0);
        assertThat(known.free(0)).isEqualTo(7);
    }

    /** Guards against answers that overtake each other on the way. */
    @Test
    void anOlderReportDoesNotReplaceANewerOne() {
        known.onReport(report(2, 16), 0);
        known.onReport(report(1, 0), MILLI);
        assertThat(known.free(MILLI)).isZero();
        assertThat(known.ageNanos(MILLI)).isEqualTo(MILLI);
    }

    /** Guards against calls that go to slots which were free a second ago. */
    @Test
    void aReportFadesIntoUnknown() {
        known.onReport(report(1, 0), 0);
        assertThat(known.weight(0)).isEqualTo(1);
        assertThat(known.weight(ReportedLoad.UNKNOWN_AFTER_NANOS / 2)).isEqualTo(0.5);
        assertThat(known.weight(ReportedLoad.UNKNOWN_AFTER_NANOS)).isZero();
        assertThat(known.free(ReportedLoad.UNKNOWN_AFTER_NANOS)).isZero();
    }

    @Test
    void withoutAReportTheAnnouncedLimitCounts() {
        assertThat(known.limit(8)).isEqualTo(8);
        assertThat(known.limit(0)).isEqualTo(1);
        assertThat(known.weight(0)).isZero();
        assertThat(known.ageNanos(0)).isEqualTo(-1);
    }

    @Test
    void aDrainingTargetHasNoFreeSlots() {
        known.onReport(new TargetLoad(1, 16, 0, 0, MILLI, false, true), 0);
        assertThat(known.free(0)).isZero();
        assertThat(known.isDraining(0)).isTrue();
        assertThat(known.isDraining(ReportedLoad.UNKNOWN_AFTER_NANOS)).isFalse();
    }
}
