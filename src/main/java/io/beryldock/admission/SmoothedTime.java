package io.beryldock.admission;

/**
 * Mean of times that scatter and now and then change.
 *
 * <p>It is smooth while the samples scatter as usual, and follows within a few samples when they have changed: a fast
 * average that leaves the scatter of the slow one shows a change. All in nanoseconds, 0 when nothing is known. Guarded
 * by the gate's lock.
 */
final class SmoothedTime {

    private static final double SLOW_WEIGHT = 1.0 / 64;
    private static final double FAST_WEIGHT = 1.0 / 8;
    private static final double CHANGE_DEVIATIONS = 5;
    private static final int SAMPLES_TO_FOLLOW = 16;
    private static final double SCATTER_OF_FAST = Math.sqrt(FAST_WEIGHT / (2 - FAST_WEIGHT));
    private static final long FRESH_NANOS = 1_000_000_000L;

    private double mean;
    private double fast;
    private double deviation;
    private int following;
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
        double scatter = SCATTER_OF_FAST * deviation * Math.sqrt(Math.min(1, fast / mean));
        if (Math.abs(fast - mean) > CHANGE_DEVIATIONS * scatter) {
            following = SAMPLES_TO_FOLLOW;
        }
        double weight = following > 0 ? FAST_WEIGHT : SLOW_WEIGHT;
        deviation += weight * (Math.abs(nanos - mean) - deviation);
        mean = following > 0 ? fast : mean + SLOW_WEIGHT * (nanos - mean);
        following = Math.max(0, following - 1);
    }

    double mean() {
        return mean;
    }

    long lastAt() {
        return lastAt;
    }

    /**
     * What work that starts now is expected to take.
     *
     * <p>Without new samples it halves every second: a target that was slow would otherwise be given no request that
     * could show that it has recovered, since each would seem unable to finish.
     */
    double expected(long now) {
        long stale = now - lastAt - FRESH_NANOS;
        return stale <= 0 ? mean : mean * Math.pow(2, -(double) stale / FRESH_NANOS);
    }
}
