package io.beryldock.time;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A timer service that uses a scheduler and passes due tasks to an executor.
 *
 * <p>Thread safe. An exception of a task is logged, and a repeated task continues. After the scheduler was shut down no
 * further task runs. The caller that started the scheduler has to shut it down.
 */
public final class ScheduledTimers implements TimerService {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private static final Subscription CANCELLED_SUBSCRIPTION = () -> {};

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
            return cancelling(scheduler.schedule(() -> submit(task), delay.toNanos(), TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return CANCELLED_SUBSCRIPTION;
        }
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
        long nanos = period.toNanos();
        try {
            return cancelling(scheduler.scheduleWithFixedDelay(() -> submit(task), nanos, nanos, TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return CANCELLED_SUBSCRIPTION;
        }
    }

    @Override
    public Ticker ticker() {
        return Ticker.system();
    }

    private void submit(Runnable task) {
        try {
            executor.execute(() -> runLogged(task));
        } catch (RejectedExecutionException e) {
            log.atFine().withCause(e).log("timer task discarded: its executor has been shut down");
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
