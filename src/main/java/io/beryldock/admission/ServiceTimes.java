package io.beryldock.admission;

/**
 * Service times of one target: what a request may be expected to take, by its kind where kinds differ.
 *
 * <p>All in nanoseconds, 0 when nothing is known. Guarded by the gate's lock.
 */
final class ServiceTimes {

    private static final double LONG_WEIGHT = 1.0 / 512;
    private static final long MIN_HELD_NANOS = 10_000_000_000L;

    private final SmoothedTime all = new SmoothedTime();
    private final KindTimes kinds = new KindTimes();
    private double longMean;
    private double minNow;
    private double minBefore;
    private long minSince;

    void add(int kind, long nanos, long now) {
        longMean = all.mean() == 0 ? nanos : longMean + LONG_WEIGHT * (nanos - longMean);
        all.add(nanos, now);
        kinds.add(kind, nanos, now);
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
        return all.mean();
    }

    double longMean() {
        return longMean;
    }

    /** The shortest mean of a window within the last 10 to 20 seconds. */
    double min() {
        return minBefore == 0 ? minNow : Math.min(minNow, minBefore);
    }

    /** What a request that starts now is expected to take, whatever its kind. */
    double expected(long now) {
        return all.expected(now);
    }

    /** What a request of the kind is expected to take that starts now. */
    double expected(int kind, long now) {
        return kinds.expected(kind, all, now);
    }

    /** How much longer than the mean of all the kind takes, below 0 when shorter; 0 while it is unknown. */
    long aboveMean(int kind) {
        return (long) kinds.aboveMean(kind, all);
    }

    /** Whether a request of a kind that is unknown may run to make it known. */
    boolean takeProbe(int kind, long now) {
        return kinds.takeProbe(kind, now);
    }
}
