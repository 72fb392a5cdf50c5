package io.beryldock.time;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A timer service on a scheduler, which hands due tasks to an executor.
 *
 * <p>Thread safe. A task that throws is logged and goes on being repeated; a scheduler that was shut down runs nothing
 * more. Who started the scheduler stops it.
 */
public final class ScheduledTimers implements TimerService {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private static final Subscription AFTER_CLOSE = () -> {};

    private final ScheduledExecutorService scheduler;
    private final Executor executor;

    private ScheduledTimers(ScheduledExecutorService scheduler, Executor executor) {
        this.scheduler = scheduler;
        this.executor = executor;
    }

    public static ScheduledTimers on(ScheduledExecutorService scheduler, Executor executor) {
        return new ScheduledTimers(scheduler, executor);
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        try {
            return cancelling(scheduler.schedule(() -> hand(task), delay.toNanos(), TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return AFTER_CLOSE;
        }
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
        long nanos = period.toNanos();
        try {
            return cancelling(scheduler.scheduleWithFixedDelay(() -> hand(task), nanos, nanos, TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return AFTER_CLOSE;
        }
    }

    @Override
    public Ticker ticker() {
        return Ticker.system();
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
