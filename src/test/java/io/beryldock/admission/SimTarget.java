package io.beryldock.admission;

import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.DoubleUnaryOperator;
import java.util.random.RandomGenerator;

/** A target with slots and an internal queue, on simulated time. */
final class SimTarget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final ManualTimerService timers;
    private final RandomGenerator random;
    private final int slots;
    private final double meanNanos;
    private final DoubleUnaryOperator slowness;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private final int refuseAbove;
    private int busy;

    /**
     * @param slowness factor on the service time, by the second of the run
     * @param refuseAbove number of requests at the target from which it refuses further ones with its not-executed
     *     marker
     */
    SimTarget(
            ManualTimerService timers,
            RandomGenerator random,
            int slots,
            double meanNanos,
            DoubleUnaryOperator slowness,
            int refuseAbove) {
        this.timers = timers;
        this.random = random;
        this.slots = slots;
        this.meanNanos = meanNanos;
        this.slowness = slowness;
        this.refuseAbove = refuseAbove;
    }

    boolean refuses() {
        return busy + waiting.size() >= refuseAbove;
    }

    /** Runs the task as soon as a slot is free. */
    void acquire(Runnable task) {
        if (busy < slots) {
            busy++;
            task.run();
        } else {
            waiting.add(task);
        }
    }

    void releaseSlot() {
        Runnable next = waiting.poll();
        if (next == null) {
            busy--;
        } else {
            next.run();
        }
    }

    /**
     * Works for a random time around this share of the mean: half of the time is constant, half exponentially
     * distributed.
     */
    void work(double share, Runnable done) {
        double factor = slowness.applyAsDouble(timers.ticker().nanos() / NANOS_PER_SECOND);
        double nanos = meanNanos * share * factor * (0.5 + 0.5 * random.nextExponential());
        timers.after(Duration.ofNanos((long) nanos), done);
    }
}
