package io.beryldock.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Notifies subscribers when the store answers again after failed calls.
 *
 * <p>Guards against a watch that waits on a connection which an outage has silenced: such a watch would miss changes
 * until its long wait times out. Short calls that are made anyway, such as lease renewals, detect the outage and its
 * end.
 *
 * <p>Used on the timer thread only.
 */
public final class StoreRecovery {

    private final List<Runnable> subscribers = new ArrayList<>();
    private boolean failing;

    private StoreRecovery() {}

    public static StoreRecovery create() {
        return new StoreRecovery();
    }

    /** Subscribes a task that runs each time the store answers again. */
    public void subscribe(Runnable task) {
        subscribers.add(task);
    }

    /** Reports the end of a short call; {@code answered} is false when it failed. */
    public void onCall(boolean answered) {
        boolean recovered = failing && answered;
        failing = !answered;
        if (recovered) {
            subscribers.forEach(Runnable::run);
        }
    }
}
