package io.beryldock.routing;

import io.beryldock.call.TargetLoad;

/**
 * What a call waits for a slot in the own and in the other data centres, by the reports of their targets, and whether
 * that makes crossing over worth while.
 *
 * <p>A call leaves while the wait here is above that there by more than the crossing costs, and comes back once the
 * difference is below half of that. Between the two the share stays as it is. Not thread safe; guarded by the lock of
 * {@link ServiceTargets}.
 */
final class CentreWaits {

    /** Share of calls that leave only to learn how the others are. */
    static final double EXPLORING = 0.05;

    /** Above this occupancy the formula of the wait has no finite value that means something. */
    private static final double MAX_OCCUPANCY = 0.98;

    /** Differences of so many times the crossing beyond the threshold move the share at full speed. */
    private static final double FULL_SPEED = 3;

    private static final double TIME_CONSTANT_NANOS = 300e6;
    private static final double LEAST_WEIGHT = 0.02;
    private static final long KNOWN_NANOS = 2_000_000_000L;

    private final double crossingNanos;
    private final Side own = new Side();
    private final Side other = new Side();

    /**
     * Of no report yet.
     *
     * @param crossingNanos round trip and price of the bytes, as time
     */
    CentreWaits(long crossingNanos) {
        this.crossingNanos = Math.max(1, crossingNanos);
    }

    /** Averages over the reports of one side. */
    private static final class Side {
        private double busyShare;
        private double limit;
        private double meanNanos;
        private long heardAt;
        private boolean heard;

        void add(TargetLoad load, long now) {
            double passed = 1 - Math.exp(-Math.max(0, now - heardAt) / TIME_CONSTANT_NANOS);
            double weight = heard ? Math.max(LEAST_WEIGHT, passed) : 1;
            double slots = Math.max(1, load.limit());
            busyShare += weight * ((load.running() + load.queued()) / slots - busyShare);
            limit += weight * (slots - limit);
            meanNanos += weight * (load.meanNanos() - meanNanos);
            heardAt = now;
            heard = true;
        }

        boolean isKnown(long now) {
            return heard && now - heardAt <= KNOWN_NANOS;
        }

        /** Sakasegawa's approximation of the wait at several slots; beyond them each queued request adds its part. */
        double waitNanos() {
            double occupancy = Math.min(MAX_OCCUPANCY, busyShare);
            double exponent = Math.sqrt(2 * (limit + 1)) - 1;
            double steady = meanNanos / limit * Math.pow(occupancy, exponent) / (1 - occupancy);
            return steady + meanNanos * Math.max(0, busyShare - MAX_OCCUPANCY);
        }
    }

    void onReport(boolean fromOwn, TargetLoad load, long now) {
        (fromOwn ? own : other).add(load, now);
    }

    /** Whether both sides have been heard of late, so that waits decide over coming back. */
    boolean isKnown(long now) {
        return own.isKnown(now) && other.isKnown(now);
    }

    /**
     * Whether more calls should leave (above 0) or come back (below 0), -1 to 1.
     *
     * @param share of the calls that leave now
     */
    double drive(double share, long now) {
        if (!own.isKnown(now)) {
            return 0;
        }
        if (!other.isKnown(now)) {
            return own.waitNanos() > crossingNanos && share < EXPLORING ? 1 : 0;
        }
        double gain = own.waitNanos() - other.waitNanos();
        if (gain > crossingNanos) {
            return Math.min(1, (gain / crossingNanos - 1) / FULL_SPEED);
        }
        return Math.max(-1, Math.min(0, (gain / crossingNanos - 0.5) / FULL_SPEED));
    }
}
