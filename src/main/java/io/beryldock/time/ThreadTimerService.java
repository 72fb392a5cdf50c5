package io.beryldock.time;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/**
 * The timer service of a running process: one thread that passes due tasks to an executor.
 *
 * <p>Thread safe. An exception of a task is logged, and a repeated task continues.
 */
public final class ThreadTimerService implements TimerService, AutoCloseable {

    private final ScheduledThreadPoolExecutor thread;
    private final TimerService timers;

    private ThreadTimerService(ScheduledThreadPoolExecutor thread, Executor executor) {
        this.thread = thread;
        this.timers = ScheduledTimers.on(thread, executor);
    }

    /** Starts the timer thread with the given name; {@code executor} runs the tasks. */
    public static ThreadTimerService start(String threadName, Executor executor) {
        ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1, task -> daemon(task, threadName));
        thread.setRemoveOnCancelPolicy(true);
        return new ThreadTimerService(thread, executor);
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        return timers.after(delay, task);
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
        return timers.every(period, task);
    }

    @Override
    public Ticker ticker() {
        return timers.ticker();
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
