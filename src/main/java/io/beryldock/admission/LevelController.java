package io.beryldock.admission;

import io.beryldock.call.ServiceLevel;

/**
 * Moves a target's admission level so that what arrives fits what the target can do.
 *
 * <p>Each step compares arrivals with capacity and the queue with its goal, and changes the admitted demand by a part of
 * the difference (the rule of the rate control protocol RCP, Dukkipati 2005). The part is the step over the delay after
 * which entries act on a level, so that the level does not fall again for what it has already corrected. The goal of the
 * queue is the noise of arrivals within that delay: with less the target idles, with more requests wait for nothing.
 *
 * <p>Invariant: the level stays within {@link #FLOOR} and {@link ServiceLevel#OPEN}. Guarded by the gate's lock.
 */
final class LevelController {

    /** Time of one step. */
    static final long STEP_NANOS = 20_000_000;

    /** A trickle of rank 0 is always let through; without it nothing would show that the target has recovered. */
    static final int FLOOR = 4;

    private static final int MAX_CATCH_UP_STEPS = 200;
    private static final double RATE_GAIN = 1.0;
    private static final double QUEUE_GAIN = 0.5;
    private static final double MAX_FALL = 0.5;
    private static final double MAX_RISE = 0.25;

    private final DemandMap demand = new DemandMap();
    private double level = ServiceLevel.OPEN;
    private long steppedAt;

    LevelController(long now) {
        steppedAt = now;
    }

    /** What the target can do and what waits for it. */
    record Load(double capacityPerNano, double queued, double loopNanos) {

        double goal() {
            return Math.sqrt(capacityPerNano * loopNanos);
        }
    }

    void arrived(int rank, int callerHash) {
        demand.arrived(rank, callerHash);
    }

    /** Makes the steps that are due. */
    void advance(long now, Load load) {
        int steps = 0;
        while (now - steppedAt >= STEP_NANOS) {
            steppedAt = steps++ < MAX_CATCH_UP_STEPS ? steppedAt + STEP_NANOS : now;
            step(load);
        }
    }

    int level() {
        return (int) level;
    }

    private void step(Load load) {
        double gain = STEP_NANOS / load.loopNanos();
        double perLoop = load.capacityPerNano() * load.loopNanos();
        double room = 1 - demand.total() / (load.capacityPerNano() * STEP_NANOS);
        double excess = (load.queued() - load.goal()) / perLoop;
        double change = gain * (RATE_GAIN * room - QUEUE_GAIN * excess);
        double factor = 1 + Math.max(-MAX_FALL, Math.min(MAX_RISE, change));
        demand.step(level);
        double wanted = demand.level(demand.below(level) * factor);
        level = Math.max(FLOOR, Math.min(ServiceLevel.OPEN, wanted));
    }
}
