package io.beryldock.measure;

import io.beryldock.time.ManualTimerService;
import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The timers of one process on the shared manual clock, which can be paused, resumed or stopped as a process can.
 *
 * <p>While paused due tasks wait; a repeated one that fell due many times runs once on resuming. Each process has its
 * own offset of the clock, so a comparison of two processes' clocks shows as a fault. Counts the processor time of the
 * tasks. Single-threaded.
 */
final class PausableTimers implements TimerService {

    private final ManualTimerService shared;
    private final long offset;
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private boolean paused;
    private boolean stopped;
    private long busyNanos;

    private PausableTimers(ManualTimerService shared, long offset) {
        this.shared = shared;
        this.offset = offset;
    }

    static PausableTimers create(ManualTimerService shared, long offset) {
        return new PausableTimers(shared, offset);
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        return shared.after(delay, () -> run(task));
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
        return shared.every(period, () -> run(task));
    }

    @Override
    public Ticker ticker() {
        return () -> shared.ticker().nanos() + offset;
    }

    /** Runs a task of the process now, or when it resumes, or never once it is stopped. */
    void run(Runnable task) {
        if (stopped) {
            return;
        }
        if (paused) {
            waiting.add(task);
            return;
        }
        long start = System.nanoTime();
        task.run();
        busyNanos += System.nanoTime() - start;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> due = new ArrayList<>(waiting);
        waiting.clear();
        due.forEach(this::run);
    }

    void stop() {
        stopped = true;
    }

    boolean isRunning() {
        return !stopped && !paused;
    }

    boolean isStopped() {
        return stopped;
    }

    long busyNanos() {
        return busyNanos;
    }
}
