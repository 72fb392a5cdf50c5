package io.beryldock.routing;

/**
 * Share of a service's calls that go to other data centres although the local one has healthy targets.
 *
 * <p>The share rises while local targets refuse more than remote ones, and otherwise decays slowly enough not to
 * oscillate. While both refuse, it falls quickly: sending calls to other data centres then gains nothing and costs
 * bandwidth between them. Where targets report their load, the estimated queue waits change the share too. Invariant:
 * between 0 and {@link #MAX}. Not thread safe; guarded by the lock of {@link ServiceTargets}.
 */
final class SpillShare {

    /** Below 1, because only calls that stay local show when the local data centre has capacity again. */
    static final double MAX = 0.9;

    private static final double GAIN_PER_SECOND = 1;
    private static final double LEAK_PER_SECOND = 0.05;

    /** Decay rate of the share per second while local and remote targets refuse all calls. */
    private static final double RETURN_PER_SECOND = 1;

    private static final double PRESSURE_TIME_CONSTANT_SECONDS = 1;
    private static final double MAX_STEP_SECONDS = 0.5;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Low, because all callers of a data centre react at the same time to reports that are some 100 ms old. */
    private static final double WAIT_GAIN_PER_SECOND = 0.4;

    private final QueueWaitEstimator queueWaits;
    private double share;
    private double localPressure;
    private double remotePressure;
    private long localUpdated;
    private long remoteUpdated;
    private long updated;

    SpillShare(long now, QueueWaitEstimator queueWaits) {
        this.queueWaits = queueWaits;
        this.updated = now;
        this.localUpdated = now;
        this.remoteUpdated = now;
    }

    double value(long now) {
        advance(now);
        return share;
    }

    /**
     * Records the result of a call.
     *
     * @param pressure 1 for a refusal, otherwise the share of work that the target's admission level excludes
     */
    void onResult(boolean local, double pressure, long now) {
        advance(now);
        if (local) {
            localPressure = blend(localPressure, pressure, now - localUpdated);
            localUpdated = now;
        } else {
            remotePressure = blend(remotePressure, pressure, now - remoteUpdated);
            remoteUpdated = now;
        }
    }

    private static double blend(double average, double sample, long elapsedNanos) {
        double weight = 1 - Math.exp(-Math.max(0, elapsedNanos) / NANOS_PER_SECOND / PRESSURE_TIME_CONSTANT_SECONDS);
        return average + Math.max(0.05, weight) * (sample - average);
    }

    private void advance(long now) {
        double seconds = Math.min(MAX_STEP_SECONDS, Math.max(0, now - updated) / NANOS_PER_SECOND);
        updated = now;
        double leak = queueWaits.hasRecentReports(now) ? 0 : LEAK_PER_SECOND;
        double returnRate = leak + RETURN_PER_SECOND * Math.min(localPressure, remotePressure);
        double waitGain = WAIT_GAIN_PER_SECOND * queueWaits.adjustment(share, now);
        double step = GAIN_PER_SECOND * (localPressure - remotePressure) + waitGain - returnRate * share;
        share = Math.max(0, Math.min(MAX, share + step * seconds));
    }
}
