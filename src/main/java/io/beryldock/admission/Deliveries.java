package io.beryldock.admission;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

/**
 * Decisions that were made under a gate's lock and are told to their listeners after it.
 *
 * <p>A listener may submit or release again, which would decide in the middle of another decision were the lock held. A
 * listener whose work ends at once, as when the target refuses connections, releases within its call; each release
 * admits the next request, and told within one another they would overflow the stack. So what a listener causes is told
 * by the same thread after it. A listener that throws must not keep the others from hearing theirs. Confined to one
 * thread.
 */
final class Deliveries {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final ThreadLocal<Queue<Deliveries>> DELIVERING = new ThreadLocal<>();

    private GateEntry first;
    private Queue<GateEntry> more;
    private List<CompletableFuture<Void>> idle = List.of();

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

    /** The gate has become idle. */
    void addIdle(List<CompletableFuture<Void>> waiting) {
        idle = waiting;
    }

    /** Tells all now, or after what this thread is telling just now. */
    void deliver() {
        if (first == null && idle.isEmpty()) {
            return;
        }
        Queue<Deliveries> outer = DELIVERING.get();
        if (outer != null) {
            outer.add(this);
            return;
        }
        Queue<Deliveries> caused = new ArrayDeque<>(2);
        DELIVERING.set(caused);
        try {
            for (Deliveries next = this; next != null; next = caused.poll()) {
                next.tellAll();
            }
        } finally {
            DELIVERING.remove();
        }
    }

    private void tellAll() {
        if (first != null) {
            tell(first);
        }
        if (more != null) {
            more.forEach(Deliveries::tell);
        }
        idle.forEach(future -> future.complete(null));
    }

    private static void tell(GateEntry entry) {
        try {
            entry.tellDecision();
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log(
                    "the listener of request %s failed", entry.request().id());
        }
    }
}
