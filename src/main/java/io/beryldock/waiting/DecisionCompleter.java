package io.beryldock.waiting;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/**
 * Tells waiting requests what was decided, one after the other.
 *
 * <p>What follows from a decision may end at once and free credits for the next one; told within one another, many such
 * decisions would overflow the stack. So what a decision causes is told by the same thread after it. Thread safe.
 */
final class DecisionTelling {

    private static final ThreadLocal<Queue<Waiter>> TELLING = new ThreadLocal<>();

    private DecisionTelling() {}

    static void tell(List<Waiter> decided) {
        if (decided.isEmpty()) {
            return;
        }
        Queue<Waiter> outer = TELLING.get();
        if (outer != null) {
            outer.addAll(decided);
            return;
        }
        Queue<Waiter> all = new ArrayDeque<>(decided);
        TELLING.set(all);
        try {
            for (Waiter next = all.poll(); next != null; next = all.poll()) {
                next.tell();
            }
        } finally {
            TELLING.remove();
        }
    }
}
