package io.beryldock.store;

import com.google.common.flogger.FluentLogger;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Tracks the newest era of the store that its answers or other nodes have reported.
 *
 * <p>An era ends when the store is restored from an older copy of itself: all writes since the copy was made are lost,
 * and their revisions are assigned again. Thread safe. Invariant: the newest era never decreases.
 */
public final class StoreEras {

    /** Era of a store that reports no era. */
    public static final long NONE = 0;

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final AtomicLong newest = new AtomicLong(NONE);
    private final List<Runnable> subscribers = new CopyOnWriteArrayList<>();

    private StoreEras() {}

    public static StoreEras create() {
        return new StoreEras();
    }

    /** The newest era that was reported. */
    public long newest() {
        return newest.get();
    }

    /** Subscribes a task that runs on the timer thread each time the store has been restored from an older copy. */
    public void onNewEra(TimerService timers, Runnable task) {
        subscribers.add(() -> timers.after(Duration.ZERO, task));
    }

    /** Records the era that an answer reported; a delayed answer may report an earlier era, which has no effect. */
    public void observe(long era) {
        long before = newest.getAndAccumulate(era, Math::max);
        if (before == NONE && era > before) {
            log.atInfo().log("the store is in era %d", era);
        } else if (era > before) {
            log.atWarning().log(
                    "the store's era rose from %d to %d: the store was restored from an older copy", before, era);
            subscribers.forEach(Runnable::run);
        }
    }
}
