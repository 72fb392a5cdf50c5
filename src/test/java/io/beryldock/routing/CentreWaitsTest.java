package io.beryldock.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.TargetLoad;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class CentreWaitsTest {

    private static final int SLOTS = 100;
    private static final long MEAN = Duration.ofMillis(300).toNanos();
    private static final long CROSSING = Duration.ofMillis(10).toNanos();
    private static final long LATER = Duration.ofSeconds(10).toNanos();

    private final CentreWaits waits = new CentreWaits(CROSSING);
    private long now = LATER;
    private long version;

    private void report(boolean own, int running) {
        waits.onReport(own, new TargetLoad(++version, SLOTS, running, 0, MEAN, false, false), now);
    }

    private double driveAt(int ownRunning, int otherRunning) {
        now += LATER;
        report(true, ownRunning);
        report(false, otherRunning);
        return waits.drive(0.3, now);
    }

    /** Waits at 96, 91 and 80 of 100 slots busy are 44, 10 and 1 ms. */
    @Test
    void callsLeaveAboveTheCrossingAndComeBackBelowHalf() {
        assertThat(driveAt(96, 50)).isPositive();
        assertThat(driveAt(91, 50)).isZero();
        assertThat(driveAt(80, 50)).isNegative();
        assertThat(driveAt(96, 96)).isNegative();
    }

    @Test
    void aLongerQueueDrivesFaster() {
        double some = driveAt(94, 50);
        assertThat(driveAt(150, 50)).isGreaterThan(some).isEqualTo(1);
    }

    /** Guards against a data centre that nobody calls, so that nobody learns that it has room. */
    @Test
    void aFewCallsLeaveToLearnHowTheOthersAre() {
        report(true, 99);
        assertThat(waits.drive(0, now)).isPositive();
        assertThat(waits.drive(CentreWaits.EXPLORING, now)).isZero();
        assertThat(waits.isKnown(now)).isFalse();
    }

    @Test
    void oldReportsDriveNothing() {
        assertThat(driveAt(99, 10)).isPositive();
        assertThat(waits.drive(0, now + LATER)).isZero();
        assertThat(waits.isKnown(now + LATER)).isFalse();
    }
}
