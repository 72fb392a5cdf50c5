package io.beryldock.standin;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The slots of a target and the bounded queue before them, as of a server with a thread pool.
 *
 * <p>Thread safe; tasks run outside of the lock. Invariant: at most {@code slots} tasks hold a slot, and a task waits
 * only
 * while all slots are held.
 */
final class SlotQueue {

    private final int slots;
    private final int bound;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private int held;

    private SlotQueue(int slots, int bound) {
        this.slots = slots;
        this.bound = bound;
    }

    static SlotQueue create(int slots, int bound) {
        return new SlotQueue(slots, bound);
    }

    /** Runs the task with a slot now or later; false when the queue is full and it never runs. */
    boolean submit(Runnable task) {
        synchronized (this) {
            if (held == slots) {
                return waiting.size() < bound && waiting.add(task);
            }
            held++;
        }
        task.run();
        return true;
    }

    /** Takes a waiting task back; false when it is not waiting any more. */
    synchronized boolean withdraw(Runnable task) {
        return waiting.remove(task);
    }

    /** Gives a slot back, to the task that has waited longest if there is one. */
    void release() {
        Runnable next;
        synchronized (this) {
            if (held == 0) {
                throw new IllegalStateException("a slot was given back twice");
            }
            next = waiting.poll();
            if (next == null) {
                held--;
                return;
            }
        }
        next.run();
    }

    synchronized int held() {
        return held;
    }

    synchronized int waiting() {
        return waiting.size();
    }
}
