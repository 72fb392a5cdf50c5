package io.beryldock.admission;

/**
 * Mean of a time that varies randomly and sometimes changes.
 *
 * <p>The mean is smooth while the samples vary as usual, and follows within a few samples after a change: a change is
 * detected when a fast average leaves the random variation around the slow one. All times are in nanoseconds, 0 when
 * unknown. Guarded by the gate's lock.
 */
final class SmoothedTime {

    private static final double SLOW_WEIGHT = 1.0 / 64;
    private static final double FAST_WEIGHT = 1.0 / 8;
    private static final double CHANGE_DEVIATIONS = 5;
    private static final int FAST_SAMPLES_AFTER_CHANGE = 16;
    private static final double FAST_DEVIATION_FACTOR = Math.sqrt(FAST_WEIGHT / (2 - FAST_WEIGHT));
    private static final long FRESH_NANOS = 1_000_000_000L;

    private double mean;
    private double fast;
    private double deviation;
    private int fastSamplesLeft;
    private long lastAt;

    void add(long nanos, long now) {
        lastAt = now;
        if (mean == 0) {
            mean = nanos;
            fast = nanos;
            deviation = nanos / 2.0;
            return;
        }
        fast += FAST_WEIGHT * (nanos - fast);
        double fastDeviation = FAST_DEVIATION_FACTOR * deviation * Math.sqrt(Math.min(1, fast / mean));
        if (Math.abs(fast - mean) > CHANGE_DEVIATIONS * fastDeviation) {
            fastSamplesLeft = FAST_SAMPLES_AFTER_CHANGE;
        }
        double weight = fastSamplesLeft > 0 ? FAST_WEIGHT : SLOW_WEIGHT;
        deviation += weight * (Math.abs(nanos - mean) - deviation);
        mean = fastSamplesLeft > 0 ? fast : mean + SLOW_WEIGHT * (nanos - mean);
        fastSamplesLeft = Math.max(0, fastSamplesLeft - 1);
    }

    double mean() {
        return mean;
    }

    long lastAt() {
        return lastAt;
    }

    /**
     * Returns the expected duration of a request that starts now.
     *
     * <p>After a second without new samples it halves every second: otherwise a target that was slow would be given no
     * request that could show its recovery, since each request would appear unable to finish in time.
     */
    double expected(long now) {
        long stale = now - lastAt - FRESH_NANOS;
        return stale <= 0 ? mean : mean * Math.pow(2, -(double) stale / FRESH_NANOS);
    }
}
