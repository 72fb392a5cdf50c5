package io.beryldock.store;

import com.google.common.flogger.FluentLogger;
import io.beryldock.store.RegistryStore.Changes;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.time.Jitter;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerThread;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/**
 * Follows the entries under a prefix: lists them once, then watches them, and lists them again when the store has
 * compacted its history or was restored from an older copy.
 *
 * <p>Used on the timer thread only. Invariant: after a listing the listener receives either every change in order or
 * another listing.
 */
final class StoreFollower {

    /** Delay after a failed call, jittered by half so that the nodes' retries don't overload a store that recovers. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    /** Longest delay; the delay doubles with each failure, as calls of an unavailable store are wasted. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

    /** Longest wait of one watch; a silent connection is detected earlier, when other nodes know later revisions. */
    private static final Duration WATCH = Duration.ofSeconds(10);

    /** Time without the end of a call after which it counts as lost: the longest wait and several time-outs. */
    private static final long STALLED = WATCH.plusSeconds(4).toNanos();

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 1;
    private static final int MAX_DOUBLINGS = 8;

    private final RegistryStore store;
    private final String prefix;
    private final Duration batchDelay;
    private final BooleanSupplier wanted;
    private final TimerService timers;
    private final RandomGenerator random;
    private final Listener listener;
    private final FollowerCounters counters;
    private StoreRevision watchRevision = StoreRevision.NONE;
    private int watchNumber;
    private int failures;
    private long lastStep;
    private boolean idle;

    private StoreFollower(
            RegistryStore store,
            String prefix,
            Duration batchDelay,
            BooleanSupplier wanted,
            TimerService timers,
            RandomGenerator random,
            Listener listener,
            FollowerCounters counters) {
        this.store = store;
        this.prefix = prefix;
        this.batchDelay = batchDelay;
        this.wanted = wanted;
        this.timers = timers;
        this.random = random;
        this.listener = listener;
        this.counters = counters;
    }

    /**
     * Creates a follower that has not started.
     *
     * @param batchDelay delay between two watches, so that one call fetches a burst of changes
     * @param wanted while it returns false no further watch starts, until the follower is resumed
     * @param counters counts the calls of this follower
     */
    static StoreFollower create(
            RegistryStore store,
            String prefix,
            Duration batchDelay,
            BooleanSupplier wanted,
            TimerService timers,
            RandomGenerator random,
            Listener listener,
            FollowerCounters counters) {
        return new StoreFollower(store, prefix, batchDelay, wanted, timers, random, listener, counters);
    }

    /** Receives the entries of the store and their changes, on the timer thread. */
    interface Listener {

        /** Handles a listing of all current entries. */
        void onListing(Listing listing);

        void onChange(Entry entry);

        /** Called when every change up to the revision has been delivered. */
        void onCaughtUp(StoreRevision revision);

        /** The revision up to which every change is known, from whatever source. */
        StoreRevision knownRevision();

        /** Reports whether the store answered the last call. */
        void onStore(boolean reachable);
    }

    /** Revision after which the current watch waits for changes; {@link StoreRevision#NONE} during a listing. */
    StoreRevision watchRevision() {
        return watchRevision;
    }

    /** Resumes watching after the revision if no watch is in progress or scheduled. */
    void resume(StoreRevision revision) {
        if (idle) {
            watch(StoreRevision.later(watchRevision, revision));
        }
    }

    /** Replaces the current watch by one after a revision up to which all changes are known. */
    void restartWatchFrom(StoreRevision revision) {
        if (!watchRevision.equals(StoreRevision.NONE)) {
            counters.countReplacedWatch();
            log.atInfo().log(
                    "replacing the watch of %s after revision %s by one after %s", prefix, watchRevision, revision);
            watch(StoreRevision.later(watchRevision, revision));
        }
    }

    /** Lists the entries and follows them from then on; the result of a watch in progress is ignored. */
    void start() {
        watchNumber++;
        lastStep = now();
        watchRevision = StoreRevision.NONE;
        counters.countListing();
        TimerThread.onCompletion(timers, store.list(prefix), this::onListed);
    }

    private void onListed(Listing listing, Throwable failure) {
        boolean current = failure == null && isCurrent(listing.revision());
        failures = current ? 0 : failures + 1;
        listener.onStore(failure == null);
        if (!current) {
            timers.after(retryDelay(), this::start);
            return;
        }
        listener.onListing(listing);
        listener.onCaughtUp(listing.revision());
        watchOrIdle(listing.revision());
    }

    /** Whether the revision belongs to the newest known era; an answer sent before a restore may arrive after it. */
    private boolean isCurrent(StoreRevision revision) {
        return revision.era() >= store.eras().newest();
    }

    private Duration retryDelay() {
        Duration doubled = RETRY_DELAY.multipliedBy(1L << Math.min(failures - 1, MAX_DOUBLINGS));
        return Jitter.around(doubled.compareTo(MAX_RETRY_DELAY) < 0 ? doubled : MAX_RETRY_DELAY, random);
    }

    private void watchOrIdle(StoreRevision revision) {
        if (wanted.getAsBoolean()) {
            watch(revision);
        } else {
            watchRevision = revision;
            idle = true;
        }
    }

    /** Replaces the current watch by one after the same revision, as its connection may be dead. */
    void restartWatch() {
        restartWatchFrom(watchRevision);
    }

    /** Begins again if a call has not ended in time, whatever became of it. */
    void restartIfStalled() {
        if (idle || now() - lastStep <= STALLED) {
            return;
        }
        log.atWarning().log(
                "no call for %s has ended for %s ms: listing it again",
                prefix, TimeUnit.NANOSECONDS.toMillis(now() - lastStep));
        start();
    }

    private long now() {
        return timers.ticker().nanos();
    }

    private void watch(StoreRevision revision) {
        idle = false;
        if (!isCurrent(revision)) {
            start();
            return;
        }
        watchRevision = revision;
        lastStep = now();
        int number = ++watchNumber;
        counters.countWatch();
        TimerThread.onCompletion(timers, store.changes(prefix, revision, WATCH), (changes, failure) -> {
            if (number == watchNumber) {
                onWatched(revision, changes, failure);
            }
        });
    }

    private void onWatched(StoreRevision revision, Changes changes, Throwable failure) {
        failures = failure == null ? 0 : failures + 1;
        listener.onStore(failure == null);
        if (failure != null) {
            counters.countFailedWatch();
            log.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "a watch of %s after revision %s failed: %s", prefix, revision, failure.getMessage());
            watchAfter(retryDelay(), revision);
        } else if (changes.historyGone() || !changes.revision().isSameEra(revision)) {
            log.atInfo().log(
                    "the store no longer has the history of %s after revision %s: listing it again", prefix, revision);
            start();
        } else {
            counters.countEndedWatch(changes.entries().size());
            changes.entries().forEach(listener::onChange);
            StoreRevision delivered = lastRevision(changes).orElse(revision);
            listener.onCaughtUp(delivered);
            watchAfter(batchDelay, delivered);
        }
    }

    /**
     * The revision of the last change. Later revisions of the store don't count: it may have withheld changes from the
     * watch.
     */
    private static Optional<StoreRevision> lastRevision(Changes changes) {
        return changes.entries().stream().map(Entry::revision).max(Comparator.naturalOrder());
    }

    private void watchAfter(Duration delay, StoreRevision revision) {
        watchRevision = revision;
        int endedWatch = watchNumber;
        timers.after(delay, () -> {
            if (endedWatch == watchNumber) {
                watchOrIdle(StoreRevision.later(revision, listener.knownRevision()));
            }
        });
    }
}
