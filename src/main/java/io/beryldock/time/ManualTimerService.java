package io.beryldock.time;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A timer service whose time is advanced by explicit calls, for seeded runs and tests.
 *
 * <p>Tasks run on the thread that advances the time, ordered by due time and then by subscription. Not thread safe.
 */
public final class ManualTimerService implements TimerService {

    private final PriorityQueue<Entry> queue =
            new PriorityQueue<>(Comparator.comparingLong(Entry::due).thenComparingLong(Entry::order));
    private long now;
    private long order;

    private ManualTimerService() {}

    public static ManualTimerService create() {
        return new ManualTimerService();
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        Entry entry = new Entry(now + delay.toNanos(), order++, task);
        queue.add(entry);
        return () -> queue.remove(entry);
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
        Repetition repetition = new Repetition(period, task);
        repetition.schedule();
        return repetition::cancel;
    }

    @Override
    public Ticker ticker() {
        return () -> now;
    }

    /** Advances the time by the step and runs all tasks that fall due. */
    public void advance(Duration step) {
        long end = now + step.toNanos();
        while (!queue.isEmpty() && queue.peek().due() <= end) {
            Entry entry = queue.poll();
            now = entry.due();
            entry.task().run();
        }
        now = end;
    }

    /** Due time of the next task, or {@link Long#MAX_VALUE} when no task is pending. */
    public long nextDue() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().due();
    }

    private record Entry(long due, long order, Runnable task) {}

    private final class Repetition {
        private final Duration period;
        private final Runnable task;
        private Subscription current = () -> {};

        Repetition(Duration period, Runnable task) {
            this.period = period;
            this.task = task;
        }

        void schedule() {
            current = after(period, this::fire);
        }

        void fire() {
            schedule();
            task.run();
        }

        void cancel() {
            current.cancel();
        }
    }
}
