package io.beryldock.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Tells parts that wait on the store that it answers again after it had not.
 *
 * <p>Guards against a watch that waits on a connection which an outage has silenced: it would miss changes until its
 * own long wait is over. Short calls that are made anyway, the renewals of a lease, show the outage and its end.
 *
 * <p>Used on the thread of the timers only.
 */
public final class StoreRecovery {

    private final List<Runnable> subscribers = new ArrayList<>();
    private boolean failing;

    private StoreRecovery() {}

    public static StoreRecovery create() {
        return new StoreRecovery();
    }

    /** Runs the task each time that the store answers again. */
    public void subscribe(Runnable task) {
        subscribers.add(task);
    }

    /** A short call ended. */
    public void onCall(boolean answered) {
        boolean back = failing && answered;
        failing = !answered;
        if (back) {
            subscribers.forEach(Runnable::run);
        }
    }
}
