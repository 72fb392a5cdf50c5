package io.beryldock.admission;

/**
 * Service times of one target, from which the expected duration of a request is derived, by kind where kinds differ.
 *
 * <p>All times are in nanoseconds, 0 when unknown. Guarded by the gate's lock.
 */
final class ServiceTimes {

    private static final double LONG_WEIGHT = 1.0 / 512;
    private static final long MIN_WINDOW_NANOS = 10_000_000_000L;

    private final SmoothedTime all = new SmoothedTime();
    private final KindTimes kinds = new KindTimes();
    private double longMean;
    private double currentMin;
    private double previousMin;
    private long currentMinSince;

    void add(int kind, long nanos, long now) {
        longMean = all.mean() == 0 ? nanos : longMean + LONG_WEIGHT * (nanos - longMean);
        all.add(nanos, now);
        kinds.add(kind, nanos, now);
    }

    /** Updates the shortest time with the mean of a whole window; a single sample could be far below the mean. */
    void addWindow(double windowMean, long now) {
        if (now - currentMinSince > MIN_WINDOW_NANOS) {
            previousMin = currentMin;
            currentMin = windowMean;
            currentMinSince = now;
        }
        currentMin = currentMin == 0 ? windowMean : Math.min(currentMin, windowMean);
    }

    double mean() {
        return all.mean();
    }

    double longMean() {
        return longMean;
    }

    /** Returns the shortest mean of a window within the last 10 to 20 seconds. */
    double min() {
        return previousMin == 0 ? currentMin : Math.min(currentMin, previousMin);
    }

    /** Returns the expected duration of a request that starts now, over all kinds. */
    double expected(long now) {
        return all.expected(now);
    }

    /** Returns the expected duration of a request of this kind that starts now. */
    double expected(int kind, long now) {
        return kinds.expected(kind, all, now);
    }

    /**
     * Returns the difference between the mean of the kind and the mean over all kinds, negative when the kind is
     * faster; 0 while the kind is unknown.
     */
    long aboveMean(int kind) {
        return (long) kinds.aboveMean(kind, all);
    }

    /** Whether a request of an unknown kind may run as a probe to measure the kind. */
    boolean takeProbe(int kind, long now) {
        return kinds.takeProbe(kind, now);
    }
}
