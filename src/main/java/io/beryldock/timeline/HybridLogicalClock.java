package io.beryldock.timeline;

import java.time.Duration;
import java.time.InstantSource;

/**
 * A hybrid logical clock: follows the wall clock, never goes back, and never falls behind an observed time.
 *
 * <p>Thread safe. Invariant: each {@link #now} is higher than all earlier readings and all times observed before. The
 * clock is used only to order the time line; no decision depends on it.
 */
public final class HybridLogicalClock {

    /** Maximum difference by which an observed time may be ahead of this machine's wall clock. */
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

    /** Advances the clock and returns the time of a new event of this node. */
    public synchronized HlcTime now() {
        long millis = wall.millis();
        last = millis > last.millis() ? HlcTime.ofMillis(millis) : after(last);
        return last;
    }

    /** The highest time returned or observed so far; does not advance the clock. */
    public synchronized HlcTime last() {
        return last;
    }

    /** The current wall clock time minus the given duration; does not advance the clock. */
    public HlcTime ago(Duration length) {
        return HlcTime.ofMillis(wall.millis() - length.toMillis());
    }

    /**
     * Observes a time that another node sent; false if the time is too far ahead and is rejected.
     *
     * <p>Guards against a machine whose wall clock is set far ahead: nodes that followed it would propagate its time
     * until the time lines of the whole deployment were in the future. As no clock runs ahead of its machine's wall
     * clock by more than {@link #MAX_DRIFT}, the error stops at the first node whose wall clock is correct.
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

    /** Number of observed times that were rejected for being too far ahead. */
    public synchronized long rejected() {
        return rejected;
    }

    private static HlcTime after(HlcTime time) {
        boolean full = time.counter() == HlcTime.MAX_COUNTER;
        return full ? HlcTime.ofMillis(time.millis() + 1) : new HlcTime(time.millis(), time.counter() + 1);
    }
}
