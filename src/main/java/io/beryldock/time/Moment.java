package io.beryldock.time;

import java.util.concurrent.TimeUnit;

/**
 * A point in time of this process, by its steady clock and by the time of day. Immutable.
 *
 * <p>The steady clock stands still while a VM is suspended; the time of day does not, but may be set back. An age is
 * the greater of what the two say, so that what was known before a suspension never looks young after it.
 *
 * @param nanos of the steady clock
 * @param wallMillis of the time of day
 */
public record Moment(long nanos, long wallMillis) {

    /** Tells the present moment. Thread safe. */
    @FunctionalInterface
    public interface Source {

        Moment now();

        /** The clocks of this process. */
        static Source system() {
            return () -> new Moment(System.nanoTime(), System.currentTimeMillis());
        }
    }

    /** Time from this moment to the later one, in nanoseconds; never less than the steady clock says. */
    public long ageNanos(Moment later) {
        long byWall = TimeUnit.MILLISECONDS.toNanos(later.wallMillis - wallMillis);
        return Math.max(later.nanos - nanos, byWall);
    }

    /** The moment that lies so much earlier. */
    public Moment minusNanos(long earlier) {
        return new Moment(nanos - earlier, wallMillis - TimeUnit.NANOSECONDS.toMillis(earlier));
    }

    /** Whether this moment is later than the other one by the steady clock. */
    public boolean isAfter(Moment other) {
        return nanos > other.nanos;
    }
}
