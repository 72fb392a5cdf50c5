package io.beryldock.store;

import com.google.common.flogger.FluentLogger;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The eras of the store that its answers have named.
 *
 * <p>An era ends when the store comes back from an older copy of itself: what was written since the copy was made is
 * gone, and its revisions are given out again. Thread safe. Invariant: the newest era never falls.
 */
public final class StoreEras {

    /** Era of a store that names none. */
    public static final long NONE = 0;

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final AtomicLong newest = new AtomicLong(NONE);
    private final List<Runnable> subscribers = new CopyOnWriteArrayList<>();

    private StoreEras() {}

    public static StoreEras create() {
        return new StoreEras();
    }

    /** The newest era that was named. */
    public long newest() {
        return newest.get();
    }

    /** Runs the task on the thread of the timers each time that the store has come back from an older copy. */
    public void onRise(TimerService timers, Runnable task) {
        subscribers.add(() -> timers.after(Duration.ZERO, task));
    }

    /** An answer named the era; one that was under way for long may name an earlier one. */
    public void note(long era) {
        long before = newest.getAndAccumulate(era, Math::max);
        if (before == NONE && era > before) {
            log.atInfo().log("the store is in era %d", era);
        } else if (era > before) {
            log.atWarning().log("the store's era rose from %d to %d: it came back from an older copy", before, era);
            subscribers.forEach(Runnable::run);
        }
    }
}
