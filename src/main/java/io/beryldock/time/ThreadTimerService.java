package io.beryldock.time;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The timer service of a running process: one thread that hands due tasks to an executor.
 *
 * <p>Thread safe. A task that throws is logged and goes on being repeated.
 */
public final class ThreadTimerService implements TimerService, AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** A closed timer runs nothing more. */
    private static final Subscription AFTER_CLOSE = () -> {};

    private final ScheduledThreadPoolExecutor timer;
    private final Executor executor;

    private ThreadTimerService(ScheduledThreadPoolExecutor timer, Executor executor) {
        this.timer = timer;
        this.executor = executor;
    }

    /** Starts the timer thread; {@code executor} runs the tasks. */
    public static ThreadTimerService start(String threadName, Executor executor) {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, task -> daemon(task, threadName));
        timer.setRemoveOnCancelPolicy(true);
        return new ThreadTimerService(timer, executor);
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** The same timer, whose tasks run on another executor. */
    public ThreadTimerService on(Executor other) {
        return new ThreadTimerService(timer, other);
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        try {
            return cancelling(timer.schedule(() -> hand(task), delay.toNanos(), TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return AFTER_CLOSE;
        }
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
        long nanos = period.toNanos();
        try {
            return cancelling(timer.scheduleWithFixedDelay(() -> hand(task), nanos, nanos, TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return AFTER_CLOSE;
        }
    }

    @Override
    public Ticker ticker() {
        return Ticker.system();
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void hand(Runnable task) {
        try {
            executor.execute(() -> runLogged(task));
        } catch (RejectedExecutionException e) {
            log.atFine().withCause(e).log("a timer task came after the stop of its executor");
        }
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log("a timer task failed");
        }
    }

    private static Subscription cancelling(Future<?> future) {
        return () -> future.cancel(false);
    }
}
