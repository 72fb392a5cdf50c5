package io.beryldock.admission;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Decisions that were made under a gate's lock and are told to their listeners after it.
 *
 * <p>A listener may submit or release again, which would decide in the middle of another decision were the lock held. A
 * listener that throws must not keep the others from hearing theirs. Confined to one thread.
 */
final class Deliveries {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private GateEntry first;
    private List<GateEntry> more = List.of();
    private List<CompletableFuture<Void>> idle = List.of();

    void add(GateEntry decided) {
        if (first == null) {
            first = decided;
            return;
        }
        if (more.isEmpty()) {
            more = new ArrayList<>();
        }
        more.add(decided);
    }

    /** The gate has become idle. */
    void addIdle(List<CompletableFuture<Void>> waiting) {
        idle = waiting;
    }

    void deliver() {
        if (first != null) {
            tell(first);
        }
        more.forEach(Deliveries::tell);
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
