package io.beryldock.store;

import io.beryldock.time.ManualTimerService;
import io.beryldock.time.Moment;
import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Timers and clocks of a VM that can be suspended: the wall clock continues, the monotonic clock stops. */
final class SuspendableTimers implements TimerService {

    private final ManualTimerService timers;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private long suspendedAt;
    private long suspendedNanos;
    private boolean suspended;

    SuspendableTimers(ManualTimerService timers) {
        this.timers = timers;
    }

    void setSuspended(boolean value) {
        if (suspended == value) {
            return;
        }
        suspended = value;
        if (value) {
            suspendedAt = timers.ticker().nanos();
            return;
        }
        suspendedNanos += timers.ticker().nanos() - suspendedAt;
        while (!held.isEmpty()) {
            held.poll().run();
        }
    }

    Moment.Source clock() {
        return () -> new Moment(
                ticker().nanos(), TimeUnit.NANOSECONDS.toMillis(timers.ticker().nanos()));
    }

    private void run(Runnable task) {
        if (suspended) {
            held.add(task);
        } else {
            task.run();
        }
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        return timers.after(delay, () -> run(task));
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
        return timers.every(period, () -> run(task));
    }

    @Override
    public Ticker ticker() {
        return () -> (suspended ? suspendedAt : timers.ticker().nanos()) - suspendedNanos;
    }
}
