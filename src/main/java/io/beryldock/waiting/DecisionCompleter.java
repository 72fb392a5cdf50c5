package io.beryldock.waiting;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/**
 * Completes the decisions of requests one after the other.
 *
 * <p>The work that follows a decision may end immediately and release credits for the next request; nested completions
 * of many such decisions would overflow the stack. Decisions that a completion triggers are therefore queued and
 * completed by the same thread after it. Thread safe.
 */
final class DecisionCompleter {

    private static final ThreadLocal<Queue<Waiter>> COMPLETING = new ThreadLocal<>();

    private DecisionCompleter() {}

    static void completeAll(List<Waiter> decided) {
        if (decided.isEmpty()) {
            return;
        }
        Queue<Waiter> outer = COMPLETING.get();
        if (outer != null) {
            outer.addAll(decided);
            return;
        }
        Queue<Waiter> pending = new ArrayDeque<>(decided);
        COMPLETING.set(pending);
        try {
            for (Waiter next = pending.poll(); next != null; next = pending.poll()) {
                next.completeDecision();
            }
        } finally {
            COMPLETING.remove();
        }
    }
}
