package io.beryldock.time;

import java.util.concurrent.TimeUnit;

/**
 * A point in time of this process, read from its monotonic clock and its wall clock. Immutable.
 *
 * <p>The monotonic clock stops while a VM is suspended; the wall clock does not, but may be set back. An age is the
 * greater of the two differences, so that information from before a suspension never appears recent after it.
 *
 * @param nanos reading of the monotonic clock in nanoseconds
 * @param wallMillis reading of the wall clock in milliseconds
 */
public record Moment(long nanos, long wallMillis) {

    /** Supplies the current moment. Thread safe. */
    @FunctionalInterface
    public interface Source {

        Moment now();

        /** A source that reads the clocks of this process. */
        static Source system() {
            return () -> new Moment(System.nanoTime(), System.currentTimeMillis());
        }
    }

    /** Time from this moment to the later one, in nanoseconds; never less than by the monotonic clock. */
    public long ageNanos(Moment later) {
        long byWall = TimeUnit.MILLISECONDS.toNanos(later.wallMillis - wallMillis);
        return Math.max(later.nanos - nanos, byWall);
    }

    /** The moment that is the given number of nanoseconds earlier. */
    public Moment minusNanos(long duration) {
        return new Moment(nanos - duration, wallMillis - TimeUnit.NANOSECONDS.toMillis(duration));
    }

    /** Whether this moment is later than the other by the monotonic clock. */
    public boolean isAfter(Moment other) {
        return nanos > other.nanos;
    }
}
