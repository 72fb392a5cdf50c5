package io.beryldock.admission;

/**
 * Service times of one target: what a request may be expected to take.
 *
 * <p>The mean is smooth while the samples scatter as usual, and follows within a few samples when they have changed:
 * a fast average that leaves the scatter of the slow one shows a change. All in nanoseconds, 0 when nothing is known.
 * Guarded by the gate's lock.
 */
final class ServiceTimes {

    private static final double SLOW_WEIGHT = 1.0 / 64;
    private static final double FAST_WEIGHT = 1.0 / 8;
    private static final double LONG_WEIGHT = 1.0 / 512;
    private static final double CHANGE_DEVIATIONS = 5;
    private static final int SAMPLES_TO_FOLLOW = 16;
    private static final double SCATTER_OF_FAST = Math.sqrt(FAST_WEIGHT / (2 - FAST_WEIGHT));
    private static final long MIN_HELD_NANOS = 10_000_000_000L;
    private static final long FRESH_NANOS = 1_000_000_000L;

    private double mean;
    private double fast;
    private double deviation;
    private double longMean;
    private int following;
    private double minNow;
    private double minBefore;
    private long minSince;
    private long lastAt;

    void add(long nanos, long now) {
        lastAt = now;
        if (mean == 0) {
            mean = nanos;
            fast = nanos;
            longMean = nanos;
            deviation = nanos / 2.0;
            return;
        }
        fast += FAST_WEIGHT * (nanos - fast);
        double scatter = SCATTER_OF_FAST * deviation * Math.sqrt(Math.min(1, fast / mean));
        if (Math.abs(fast - mean) > CHANGE_DEVIATIONS * scatter) {
            following = SAMPLES_TO_FOLLOW;
        }
        double weight = following > 0 ? FAST_WEIGHT : SLOW_WEIGHT;
        deviation += weight * (Math.abs(nanos - mean) - deviation);
        mean = following > 0 ? fast : mean + SLOW_WEIGHT * (nanos - mean);
        following = Math.max(0, following - 1);
        longMean += LONG_WEIGHT * (nanos - longMean);
    }

    /** Takes the mean of a whole window into the shortest one; one sample alone would be far below the mean. */
    void addWindow(double windowMean, long now) {
        if (now - minSince > MIN_HELD_NANOS) {
            minBefore = minNow;
            minNow = windowMean;
            minSince = now;
        }
        minNow = minNow == 0 ? windowMean : Math.min(minNow, windowMean);
    }

    double mean() {
        return mean;
    }

    double longMean() {
        return longMean;
    }

    /** The shortest mean of a window within the last 10 to 20 seconds. */
    double min() {
        return minBefore == 0 ? minNow : Math.min(minNow, minBefore);
    }

    /**
     * What a request that starts now is expected to take.
     *
     * <p>Without new samples it halves every second: a target that was slow would otherwise be given no request that
     * could show that it has recovered, since each would seem unable to finish.
     */
    double expected(long now) {
        long stale = now - lastAt - FRESH_NANOS;
        return stale <= 0 ? mean : mean * Math.pow(2, -(double) stale / FRESH_NANOS);
    }
}
