package io.beryldock.eventloop;

import com.google.common.flogger.FluentLogger;
import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * A timer whose tasks run on an event loop, so that a timer of a request wakes no other thread.
 *
 * <p>Thread safe.
 */
public final class LoopTimerService implements TimerService {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** A loop that was shut down runs nothing more. */
    private static final Subscription AFTER_CLOSE = () -> {};

    private final EventLoop loop;

    private LoopTimerService(EventLoop loop) {
        this.loop = loop;
    }

    /** A timer on one of the loops. */
    public static LoopTimerService on(EventLoops loops) {
        return new LoopTimerService(loops.next());
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        try {
            return cancelling(loop.schedule(() -> runLogged(task), delay.toNanos(), TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return AFTER_CLOSE;
        }
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
        long nanos = period.toNanos();
        try {
            return cancelling(loop.scheduleWithFixedDelay(() -> runLogged(task), nanos, nanos, TimeUnit.NANOSECONDS));
        } catch (RejectedExecutionException e) {
            return AFTER_CLOSE;
        }
    }

    @Override
    public Ticker ticker() {
        return Ticker.system();
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
