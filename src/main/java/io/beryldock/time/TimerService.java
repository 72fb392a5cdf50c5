package io.beryldock.time;

import java.time.Duration;

/**
 * The one timer of a process, to which parts subscribe.
 *
 * <p>Thread safe. Tasks run on the executor that the implementation was given, never on the subscriber's thread.
 */
public interface TimerService {

    /** Runs the task once after the delay. */
    Subscription after(Duration delay, Runnable task);

    /** Runs the task again and again, the first time after one period. */
    Subscription every(Duration period, Runnable task);

    Ticker ticker();

    /** A task that can still be taken back. */
    @FunctionalInterface
    interface Subscription {

        /** Takes the task back; without effect when it has run. */
        void cancel();
    }
}
