package io.beryldock.time;

import java.time.Duration;

/**
 * Schedules delayed and periodic tasks; the components of a process share one timer service.
 *
 * <p>Thread safe. Tasks run on the executor of the implementation, never on the subscriber's thread.
 */
public interface TimerService {

    /** Runs the task once after the delay. */
    Subscription after(Duration delay, Runnable task);

    /** Runs the task periodically, the first time after one period. */
    Subscription every(Duration period, Runnable task);

    Ticker ticker();

    /** Handle of a scheduled task. */
    @FunctionalInterface
    interface Subscription {

        /** Cancels the task; has no effect on a one-time task that has already run. */
        void cancel();
    }
}
