package io.beryldock.admission;

import io.beryldock.call.ServiceLevel;

/**
 * Sets a target's admission level so that the requests that entry nodes admit match the target's capacity.
 *
 * <p>Each step sets the level at which the demand below it equals the target's capacity, corrected by the deviation of
 * the queue from its goal. The level is computed from measured demand and capacity without an integral of past errors:
 * the targets of one service share their entry nodes, so integrals kept by each target would drift apart, with one
 * target shedding nearly everything and another open, while together they match the demand. The goal of the queue is
 * the random variation of arrivals within the delay after which entry nodes act on a level: a shorter queue leaves the
 * target idle at times, a longer one makes requests wait without benefit.
 *
 * <p>Invariant: the level stays between {@link #FLOOR} and {@link ServiceLevel#OPEN}. Guarded by the gate's lock.
 */
final class LevelController {

    /** Duration of one step. */
    static final long STEP_NANOS = 20_000_000;

    /**
     * Lowest level. It always admits a small part of rank 0; otherwise no request would show that the target has
     * recovered.
     */
    static final int FLOOR = 4;

    private static final int MAX_CATCH_UP_STEPS = 200;
    private static final double QUEUE_GAIN = 0.5;
    private static final double MAX_CORRECTION = 0.5;
    private static final double BUSY_WEIGHT = DemandByRank.FAST_WEIGHT;
    private static final double IDLE_BELOW = 0.7;
    private static final double MIN_BUSY = 0.1;

    private final DemandByRank demand = new DemandByRank();
    private int level = ServiceLevel.OPEN;
    private long steppedAt;
    private double busy;

    LevelController(long now) {
        steppedAt = now;
    }

    /**
     * Capacity and load of a target.
     *
     * @param capacityPerNano requests that the target completes per nanosecond when all its slots are busy
     * @param busyShare share of its slots that are taken
     * @param loopNanos delay after which entry nodes act on a level
     */
    record Load(double capacityPerNano, int queued, double busyShare, double loopNanos) {

        private static final double GOAL_DEVIATIONS = 0.8;
        private static final double BOUND_DEVIATIONS = 2;
        private static final double WAIT_DEVIATIONS = 15;
        private static final double STALL_GAPS = 4;
        private static final double LOOP_BASE_NANOS = 60_000_000;
        private static final double LOOP_PER_SERVICE_TIME = 2;

        /**
         * Computes the load of a target from its slots.
         *
         * @param meanNanos expected service time of a request
         * @param sinceProgressNanos time since a request completed, or started on an idle target
         */
        static Load of(int slots, int running, int queued, double meanNanos, long sinceProgressNanos) {
            double mean = Math.max(1, meanNanos);
            double capacity = slots / mean;
            if (running >= slots) {
                // A hanging target completes nothing, so no service time reveals it; the absence of several completions
                // does.
                capacity = Math.min(capacity, STALL_GAPS / Math.max(1, sinceProgressNanos));
            }
            double busy = (double) running / slots;
            return new Load(capacity, queued, busy, LOOP_BASE_NANOS + LOOP_PER_SERVICE_TIME * mean);
        }

        /**
         * Returns this load for a target that accepts a limited rate.
         *
         * @param exhausted whether the target has used up its rate, which its free slots do not show
         */
        Load atRate(double perNano, boolean exhausted) {
            return new Load(Math.min(capacityPerNano, perNano), queued, exhausted ? 1 : busyShare, loopNanos);
        }

        /** Returns the queue length that the controller aims at. */
        double goal() {
            return 1 + GOAL_DEVIATIONS * arrivalsDeviation();
        }

        /** Returns the length above which a standing queue is cut. */
        double bound() {
            return 2 + BOUND_DEVIATIONS * arrivalsDeviation();
        }

        /**
         * Returns the wait that a standing queue allows. It is long because the least important requests receive only a
         * small share of the capacity.
         */
        double waitNanos() {
            return WAIT_DEVIATIONS * arrivalsDeviation() / capacityPerNano;
        }

        double requestsPerLoop() {
            return capacityPerNano * loopNanos;
        }

        /** Standard deviation of the arrivals within one loop, as of a Poisson stream. */
        private double arrivalsDeviation() {
            return Math.sqrt(requestsPerLoop());
        }
    }

    void arrived(int rank, int callerHash) {
        demand.arrived(rank, callerHash);
    }

    boolean due(long now) {
        return now - steppedAt >= STEP_NANOS;
    }

    /** Performs the steps that are due. */
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
        double excess = (load.queued() - load.goal()) / load.requestsPerLoop();
        double correction = Math.max(-MAX_CORRECTION, Math.min(MAX_CORRECTION, QUEUE_GAIN * excess));
        double capacity = capacityPerStep(load);
        level = Math.max(FLOOR, demand.level(capacity * (1 - correction)));
    }

    /**
     * Returns the number of requests that the target completes per step when all its slots are busy.
     *
     * <p>When an overload ends, few requests arrive at first, so the mean service time lags and the level would rise
     * late. Slots are idle then, and by Little's law the arrivals divided by the busy share equal the capacity.
     */
    private double capacityPerStep(Load load) {
        double capacity = load.capacityPerNano() * STEP_NANOS;
        busy += BUSY_WEIGHT * (load.busyShare() - busy);
        if (load.queued() > 0 || busy >= IDLE_BELOW) {
            return capacity;
        }
        return Math.max(capacity, demand.recent() / Math.max(MIN_BUSY, busy));
    }
}
