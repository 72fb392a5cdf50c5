package io.beryldock.eventloop;

import io.beryldock.time.ScheduledTimers;
import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import io.netty.channel.EventLoop;
import java.time.Duration;

/**
 * A timer whose tasks run on an event loop, so that an expiring request timer wakes no other thread.
 *
 * <p>Thread safe.
 */
public final class LoopTimerService implements TimerService {

    private final TimerService timers;

    private LoopTimerService(EventLoop loop) {
        this.timers = ScheduledTimers.on(loop, Runnable::run);
    }

    /** Creates a timer on one of the event loops. */
    public static LoopTimerService on(EventLoops loops) {
        return new LoopTimerService(loops.next());
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
}
