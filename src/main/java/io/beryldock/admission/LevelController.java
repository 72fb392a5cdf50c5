package io.beryldock.admission;

import io.beryldock.call.ServiceLevel;

/**
 * Sets a target's admission level so that what entries let through fits what the target can do.
 *
 * <p>Each step puts the level where the demand below it equals the target's capacity, corrected by how far the queue is
 * from its goal. The level follows from measured demand and capacity and keeps no sum of past errors: the targets of
 * one service share their entries, so sums kept by each would drift apart, one at shed-nearly-all and one open, while
 * together they fit the demand. The goal of the queue is the noise of arrivals within the delay after which entries act
 * on a level: with less the target idles, with more requests wait for nothing.
 *
 * <p>Invariant: the level stays within {@link #FLOOR} and {@link ServiceLevel#OPEN}. Guarded by the gate's lock.
 */
final class LevelController {

    /** Time of one step. */
    static final long STEP_NANOS = 20_000_000;

    /** A trickle of rank 0 is always let through; without it nothing would show that the target has recovered. */
    static final int FLOOR = 4;

    private static final int MAX_CATCH_UP_STEPS = 200;
    private static final double QUEUE_GAIN = 0.5;
    private static final double MAX_CORRECTION = 0.5;
    private static final double BUSY_WEIGHT = DemandMap.FAST_WEIGHT;
    private static final double IDLE_BELOW = 0.7;
    private static final double MIN_BUSY = 0.1;

    private final DemandMap demand = new DemandMap();
    private int level = ServiceLevel.OPEN;
    private long steppedAt;
    private double busy;

    LevelController(long now) {
        steppedAt = now;
    }

    /**
     * What the target can do and what waits for it.
     *
     * @param capacityPerNano requests that it completes in a nanosecond when all its slots are busy
     * @param busyShare part of its slots that are taken
     * @param loopNanos delay after which entries act on a level
     */
    record Load(double capacityPerNano, int queued, double busyShare, double loopNanos) {

        private static final double GOAL_DEVIATIONS = 0.8;
        private static final double BOUND_DEVIATIONS = 2;
        private static final double WAIT_DEVIATIONS = 15;
        private static final double STALL_GAPS = 4;
        private static final double LOOP_BASE_NANOS = 60_000_000;
        private static final double LOOP_PER_SERVICE_TIME = 2;

        /**
         * The load of a target's slots.
         *
         * @param meanNanos time that a request is expected to take
         * @param sinceProgressNanos time since a request began after idleness or ended
         */
        static Load of(int slots, int running, int queued, double meanNanos, long sinceProgressNanos) {
            double mean = Math.max(1, meanNanos);
            double capacity = slots / mean;
            if (running >= slots) {
                // A target that hangs ends nothing, so no service time shows it; the lack of several ends does.
                capacity = Math.min(capacity, STALL_GAPS / Math.max(1, sinceProgressNanos));
            }
            double busy = (double) running / slots;
            return new Load(capacity, queued, busy, LOOP_BASE_NANOS + LOOP_PER_SERVICE_TIME * mean);
        }

        /** Queue length to aim at. */
        double goal() {
            return 1 + GOAL_DEVIATIONS * arrivalsDeviation();
        }

        /** Length above which a standing queue is cut. */
        double bound() {
            return 2 + BOUND_DEVIATIONS * arrivalsDeviation();
        }

        /** Wait that a standing queue allows; the least important get only a small part of the capacity. */
        double waitNanos() {
            return WAIT_DEVIATIONS * arrivalsDeviation() / capacityPerNano;
        }

        double perLoop() {
            return capacityPerNano * loopNanos;
        }

        /** Standard deviation of the arrivals within one loop, as of a Poisson stream. */
        private double arrivalsDeviation() {
            return Math.sqrt(perLoop());
        }
    }

    void arrived(int rank, int callerHash) {
        demand.arrived(rank, callerHash);
    }

    boolean due(long now) {
        return now - steppedAt >= STEP_NANOS;
    }

    /** Makes the steps that are due. */
    void advance(long now, Load load) {
        int steps = 0;
        while (due(now)) {
            steppedAt = steps++ < MAX_CATCH_UP_STEPS ? steppedAt + STEP_NANOS : now;
            step(load);
        }
    }

    int level() {
        return level;
    }

    private void step(Load load) {
        demand.step(level);
        double excess = (load.queued() - load.goal()) / load.perLoop();
        double correction = Math.max(-MAX_CORRECTION, Math.min(MAX_CORRECTION, QUEUE_GAIN * excess));
        double fits = fitting(load);
        level = Math.max(FLOOR, demand.level(fits * (1 - correction)));
    }

    /**
     * Requests that the target completes in a step when all its slots are busy.
     *
     * <p>When an overload ends few requests arrive at first, so that the mean service time follows late and the level
     * would rise late. But then slots are idle, and by Little's law arrivals over the busy share are the capacity.
     */
    private double fitting(Load load) {
        double fits = load.capacityPerNano() * STEP_NANOS;
        busy += BUSY_WEIGHT * (load.busyShare() - busy);
        if (load.queued() > 0 || busy >= IDLE_BELOW) {
            return fits;
        }
        return Math.max(fits, demand.recent() / Math.max(MIN_BUSY, busy));
    }
}
