package io.beryldock.admission;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

/**
 * Decisions that are made under a gate's lock and passed to their listeners after the lock is released.
 *
 * <p>A listener may submit or release again; with the lock held, this would start a new decision in the middle of the
 * current one. A listener whose request ends immediately, for example because the target refuses connections, releases
 * its permit within the call; each release admits the next request, and nested notifications would overflow the stack.
 * Notifications that a listener triggers are therefore queued and sent by the same thread after the current one. An
 * exception from one listener does not prevent the notification of the others. Confined to one thread.
 */
final class DecisionNotifications {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final ThreadLocal<Queue<DecisionNotifications>> NOTIFYING = new ThreadLocal<>();

    private GateEntry first;
    private Queue<GateEntry> more;
    private List<CompletableFuture<Void>> futures = List.of();

    void add(GateEntry decided) {
        if (first == null) {
            first = decided;
            return;
        }
        if (more == null) {
            more = new ArrayDeque<>();
        }
        more.add(decided);
    }

    /** Adds futures to complete, for example because the gate has become idle. */
    void addCompleted(Collection<CompletableFuture<Void>> completed) {
        List<CompletableFuture<Void>> all = new ArrayList<>(futures);
        all.addAll(completed);
        futures = all;
    }

    /** Notifies all listeners now, or queues this object behind the notification that this thread is sending. */
    void send() {
        if (first == null && futures.isEmpty()) {
            return;
        }
        Queue<DecisionNotifications> outer = NOTIFYING.get();
        if (outer != null) {
            outer.add(this);
            return;
        }
        Queue<DecisionNotifications> triggered = new ArrayDeque<>(2);
        NOTIFYING.set(triggered);
        try {
            for (DecisionNotifications next = this; next != null; next = triggered.poll()) {
                next.notifyAllListeners();
            }
        } finally {
            NOTIFYING.remove();
        }
    }

    private void notifyAllListeners() {
        if (first != null) {
            notifyListener(first);
        }
        if (more != null) {
            more.forEach(DecisionNotifications::notifyListener);
        }
        futures.forEach(future -> future.complete(null));
    }

    private static void notifyListener(GateEntry entry) {
        try {
            entry.notifyListener();
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log(
                    "gate listener of request %s threw an exception",
                    entry.request().id());
        }
    }
}
