package io.beryldock.forwarding;

import java.util.ArrayList;
import java.util.List;

/**
 * Cancellation of a request and of all calls beneath it.
 *
 * <p>Thread safe. Tasks run once, on the thread that cancels, or at once when the scope is already cancelled. A scope
 * whose work has ended is closed and keeps no task, so that a long-running parent does not accumulate the tasks of its
 * children.
 */
public final class CancelScope {

    private final List<Runnable> tasks = new ArrayList<>();
    private boolean cancelled;

    private CancelScope() {}

    public static CancelScope create() {
        return new CancelScope();
    }

    /** Creates a scope that is cancelled with this one. */
    public CancelScope child() {
        CancelScope child = new CancelScope();
        onCancel(child::cancel);
        return child;
    }

    /** Registers a task that runs on cancellation. */
    public void onCancel(Runnable task) {
        synchronized (this) {
            if (!cancelled) {
                tasks.add(task);
                return;
            }
        }
        task.run();
    }

    public void cancel() {
        List<Runnable> due;
        synchronized (this) {
            if (cancelled) {
                return;
            }
            cancelled = true;
            due = List.copyOf(tasks);
            tasks.clear();
        }
        due.forEach(Runnable::run);
    }

    public synchronized boolean cancelled() {
        return cancelled;
    }

    /** Drops the tasks, because the work has ended. */
    public synchronized void close() {
        tasks.clear();
    }
}
