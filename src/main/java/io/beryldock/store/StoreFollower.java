package io.beryldock.store;

import com.google.common.flogger.FluentLogger;
import io.beryldock.store.RegistryStore.Changes;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.time.Jitter;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerThread;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

/**
 * Follows the entries under a prefix: lists them once, then watches, and lists again when the store has forgotten its
 * history or come back from an older copy.
 *
 * <p>Used on the thread of the timers only. Invariant: the listener sees every change after a listing in order, or
 * another listing.
 */
final class StoreFollower {

    /** Pause after a call that failed, jittered by half: nodes must not fall upon a store that has just come back. */
    private static final Duration RETRY = Duration.ofMillis(250);

    /** Longest such pause; it doubles with each failure, as each call of a store that is away is one in vain. */
    private static final Duration LONGEST_RETRY = Duration.ofSeconds(1);

    /** Longest wait of one watch; a silent connection is noticed earlier, by what other nodes know. */
    private static final Duration WATCH = Duration.ofSeconds(10);

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int MAX_DOUBLINGS = 8;

    private final RegistryStore store;
    private final String prefix;
    private final Duration gather;
    private final BooleanSupplier wanted;
    private final TimerService timers;
    private final RandomGenerator random;
    private final Listener listener;
    private StoreRevision followed = StoreRevision.NONE;
    private int watches;
    private int failures;
    private boolean idle;

    private StoreFollower(
            RegistryStore store,
            String prefix,
            Duration gather,
            BooleanSupplier wanted,
            TimerService timers,
            RandomGenerator random,
            Listener listener) {
        this.store = store;
        this.prefix = prefix;
        this.gather = gather;
        this.wanted = wanted;
        this.timers = timers;
        this.random = random;
        this.listener = listener;
    }

    /**
     * A follower that has not started.
     *
     * @param gather pause between two watches: a burst of changes is fetched by one call instead of one each
     * @param wanted while false no further watch is made, until the follower is resumed
     */
    static StoreFollower create(
            RegistryStore store,
            String prefix,
            Duration gather,
            BooleanSupplier wanted,
            TimerService timers,
            RandomGenerator random,
            Listener listener) {
        return new StoreFollower(store, prefix, gather, wanted, timers, random, listener);
    }

    /** Hears what the store holds, on the thread of the timers. */
    interface Listener {

        /** All entries there are now. */
        void onListing(Listing listing);

        void onChange(Entry entry);

        /** Every change up to the revision has been told. */
        void onCaughtUp(StoreRevision revision);

        /** Whether the last call was answered. */
        void onStore(boolean reachable);
    }

    /** Revision after which the present watch looks for changes; {@link StoreRevision#NONE} during a listing. */
    StoreRevision followed() {
        return followed;
    }

    /** Goes on after the revision if no watch is under way or due. */
    void resume(StoreRevision revision) {
        if (idle) {
            watch(StoreRevision.later(followed, revision));
        }
    }

    /** Watches anew after a revision up to which all is known. */
    void refreshFrom(StoreRevision revision) {
        if (!followed.equals(StoreRevision.NONE)) {
            watch(StoreRevision.later(followed, revision));
        }
    }

    /** Lists the entries and follows them from then on; a watch under way is given up. */
    void start() {
        watches++;
        followed = StoreRevision.NONE;
        TimerThread.hear(timers, store.list(prefix), this::onListed);
    }

    private void onListed(Listing listing, Throwable failure) {
        boolean current = failure == null && isCurrent(listing.revision());
        failures = current ? 0 : failures + 1;
        listener.onStore(failure == null);
        if (!current) {
            timers.after(pause(), this::start);
            return;
        }
        listener.onListing(listing);
        listener.onCaughtUp(listing.revision());
        watchOrRest(listing.revision());
    }

    /** Whether the revision is of the last era known: an answer from before the loss may arrive after it. */
    private boolean isCurrent(StoreRevision revision) {
        return revision.era() >= store.eras().newest();
    }

    private Duration pause() {
        Duration doubled = RETRY.multipliedBy(1L << Math.min(failures - 1, MAX_DOUBLINGS));
        return Jitter.around(doubled.compareTo(LONGEST_RETRY) < 0 ? doubled : LONGEST_RETRY, random);
    }

    private void watchOrRest(StoreRevision revision) {
        if (wanted.getAsBoolean()) {
            watch(revision);
        } else {
            followed = revision;
            idle = true;
        }
    }

    /** Watches anew from where it stands: the watch under way may wait on a connection that is dead. */
    void refresh() {
        refreshFrom(followed);
    }

    private void watch(StoreRevision revision) {
        idle = false;
        if (!isCurrent(revision)) {
            start();
            return;
        }
        followed = revision;
        int number = ++watches;
        TimerThread.hear(timers, store.changes(prefix, revision, WATCH), (changes, failure) -> {
            if (number == watches) {
                onWatched(revision, changes, failure);
            }
        });
    }

    private void onWatched(StoreRevision revision, Changes changes, Throwable failure) {
        failures = failure == null ? 0 : failures + 1;
        listener.onStore(failure == null);
        if (failure != null) {
            watchAfter(pause(), revision);
        } else if (changes.historyGone() || !changes.revision().isSameEra(revision)) {
            log.atInfo().log(
                    "the store knows nothing of %s after revision %s any more: it is listed again", prefix, revision);
            start();
        } else {
            changes.entries().forEach(listener::onChange);
            listener.onCaughtUp(changes.revision());
            watchAfter(gather, changes.revision());
        }
    }

    private void watchAfter(Duration pause, StoreRevision revision) {
        followed = revision;
        int ended = watches;
        timers.after(pause, () -> {
            if (ended == watches) {
                watchOrRest(revision);
            }
        });
    }
}
