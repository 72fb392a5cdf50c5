package io.beryldock.routing;

import io.beryldock.call.TargetLoad;

/**
 * Estimates from the load reports of targets how long a call waits for a slot in the local data centre and in remote
 * ones, and whether the spill share should change.
 *
 * <p>The spill share rises while the local wait exceeds the remote wait by more than the cost of crossing between data
 * centres. It falls once the difference is below half of that cost, and stays as it is between the two thresholds. Not
 * thread safe; guarded by the lock of {@link ServiceTargets}.
 */
final class QueueWaitEstimator {

    /** Share of calls that is sent to remote data centres only to obtain load reports from there. */
    static final double EXPLORATION_SHARE = 0.05;

    /** Cap on the occupancy in the wait formula, which diverges as the occupancy approaches 1. */
    private static final double MAX_OCCUPANCY = 0.98;

    /** The share changes at full speed once the wait difference passes the threshold by this many crossing costs. */
    private static final double FULL_SPEED_RATIO = 3;

    private static final double TIME_CONSTANT_NANOS = 300e6;
    private static final double MIN_SAMPLE_WEIGHT = 0.02;
    private static final long MAX_REPORT_AGE_NANOS = 2_000_000_000L;

    private final double crossingCostNanos;
    private final LoadAverages local = new LoadAverages();
    private final LoadAverages remote = new LoadAverages();

    /**
     * Creates an estimator without reports.
     *
     * @param crossingCostNanos round trip between data centres plus the cost of the transferred bytes, as time
     */
    QueueWaitEstimator(long crossingCostNanos) {
        this.crossingCostNanos = Math.max(1, crossingCostNanos);
    }

    /** Moving averages over the load reports of the local or the remote targets. */
    private static final class LoadAverages {
        private double requestsPerSlot;
        private double slots;
        private double meanNanos;
        private long reportedAt;
        private boolean hasReport;

        void add(TargetLoad load, long now) {
            double decayed = 1 - Math.exp(-Math.max(0, now - reportedAt) / TIME_CONSTANT_NANOS);
            double weight = hasReport ? Math.max(MIN_SAMPLE_WEIGHT, decayed) : 1;
            double limit = Math.max(1, load.limit());
            requestsPerSlot += weight * ((load.running() + load.queued()) / limit - requestsPerSlot);
            slots += weight * (limit - slots);
            meanNanos += weight * (load.meanNanos() - meanNanos);
            reportedAt = now;
            hasReport = true;
        }

        boolean hasRecentReports(long now) {
            return hasReport && now - reportedAt <= MAX_REPORT_AGE_NANOS;
        }

        /**
         * Sakasegawa's approximation of the mean wait in a queue with several servers.
         *
         * <p>Load beyond the capped occupancy adds its share of the mean service time.
         */
        double waitNanos() {
            double occupancy = Math.min(MAX_OCCUPANCY, requestsPerSlot);
            double exponent = Math.sqrt(2 * (slots + 1)) - 1;
            double steady = meanNanos / slots * Math.pow(occupancy, exponent) / (1 - occupancy);
            return steady + meanNanos * Math.max(0, requestsPerSlot - MAX_OCCUPANCY);
        }
    }

    void onReport(boolean fromLocal, TargetLoad load, long now) {
        (fromLocal ? local : remote).add(load, now);
    }

    /** Whether both sides have recent reports, so that the estimated waits also decide when the share falls. */
    boolean hasRecentReports(long now) {
        return local.hasRecentReports(now) && remote.hasRecentReports(now);
    }

    /**
     * Direction and relative speed of change of the spill share, -1 to 1; above 0 more calls should go to remote data
     * centres.
     *
     * @param spillShare current share of calls that go to remote data centres
     */
    double adjustment(double spillShare, long now) {
        if (!local.hasRecentReports(now)) {
            return 0;
        }
        if (!remote.hasRecentReports(now)) {
            return local.waitNanos() > crossingCostNanos && spillShare < EXPLORATION_SHARE ? 1 : 0;
        }
        double gain = local.waitNanos() - remote.waitNanos();
        if (gain > crossingCostNanos) {
            return Math.min(1, (gain / crossingCostNanos - 1) / FULL_SPEED_RATIO);
        }
        return Math.max(-1, Math.min(0, (gain / crossingCostNanos - 0.5) / FULL_SPEED_RATIO));
    }
}
