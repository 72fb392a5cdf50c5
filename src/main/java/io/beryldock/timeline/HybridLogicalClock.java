package io.beryldock.timeline;

import java.time.Duration;
import java.time.InstantSource;

/**
 * A hybrid logical clock: follows the wall clock, never goes back, and never falls behind a time that it has observed.
 *
 * <p>Thread safe. Invariants: each {@link #now} is higher than every earlier one and than every time observed before.
 * The clock serves the order of the time line only; no decision reads it.
 */
public final class HybridLogicalClock {

    /** How far ahead of this machine's wall clock an observed time may be. */
    static final Duration MAX_DRIFT = Duration.ofSeconds(10);

    private final InstantSource wall;
    private HlcTime last = HlcTime.ZERO;
    private long rejected;

    private HybridLogicalClock(InstantSource wall) {
        this.wall = wall;
    }

    public static HybridLogicalClock create(InstantSource wall) {
        return new HybridLogicalClock(wall);
    }

    public static HybridLogicalClock system() {
        return create(InstantSource.system());
    }

    /** The time of an event of this node. */
    public synchronized HlcTime now() {
        long millis = wall.millis();
        last = millis > last.millis() ? HlcTime.ofMillis(millis) : after(last);
        return last;
    }

    /** The highest time given or observed; does not move the clock. */
    public synchronized HlcTime last() {
        return last;
    }

    /** The time that this machine's wall clock showed so long ago; does not move the clock. */
    public HlcTime ago(Duration length) {
        return HlcTime.ofMillis(wall.millis() - length.toMillis());
    }

    /**
     * Takes note of a time that another node sent; false when it was too far ahead to be followed.
     *
     * <p>Guards against a machine whose wall clock is set far ahead: each node that followed it would hand its time on
     * until the time lines of the whole deployment lay in the future. As no clock passes the machine's own wall by more
     * than {@link #MAX_DRIFT}, the error ends at the first sound node.
     */
    public synchronized boolean observe(HlcTime remote) {
        if (remote.millis() - wall.millis() > MAX_DRIFT.toMillis()) {
            rejected++;
            return false;
        }
        if (remote.compareTo(last) > 0) {
            last = remote;
        }
        return true;
    }

    /** How many observed times were too far ahead. */
    public synchronized long rejected() {
        return rejected;
    }

    private static HlcTime after(HlcTime time) {
        boolean full = time.counter() == HlcTime.MAX_COUNTER;
        return full ? HlcTime.ofMillis(time.millis() + 1) : new HlcTime(time.millis(), time.counter() + 1);
    }
}
