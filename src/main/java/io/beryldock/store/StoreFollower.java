package io.beryldock.store;

import io.beryldock.store.RegistryStore.Changes;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.time.Jitter;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerThread;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Follows the entries under a prefix: lists them once, then watches, and lists again when the store has forgotten its
 * history.
 *
 * <p>Used on the thread of the timers only. Invariant: the listener sees every change after a listing in order, or
 * another listing.
 */
public final class StoreFollower {

    /** Pause after a call that failed, jittered by half: nodes must not fall upon a store that has just come back. */
    private static final Duration RETRY = Duration.ofMillis(250);

    private static final long NONE = -1;

    private final RegistryStore store;
    private final String prefix;
    private final Duration wait;
    private final Duration gather;
    private final TimerService timers;
    private final RandomGenerator random;
    private final Listener listener;
    private long followed = NONE;
    private int watches;

    private StoreFollower(
            RegistryStore store,
            String prefix,
            Duration wait,
            Duration gather,
            TimerService timers,
            RandomGenerator random,
            Listener listener) {
        this.store = store;
        this.prefix = prefix;
        this.wait = wait;
        this.gather = gather;
        this.timers = timers;
        this.random = random;
        this.listener = listener;
    }

    /**
     * A follower that has not started.
     *
     * @param wait how long one watch waits; a connection that has gone silent is noticed that much late, or by
     *     {@link #refresh()}
     * @param gather pause between two watches: a burst of changes is fetched by one call instead of one each
     */
    public static StoreFollower create(
            RegistryStore store,
            String prefix,
            Duration wait,
            Duration gather,
            TimerService timers,
            RandomGenerator random,
            Listener listener) {
        return new StoreFollower(store, prefix, wait, gather, timers, random, listener);
    }

    /** Hears what the store holds, on the thread of the timers. */
    public interface Listener {

        /** All entries there are now. */
        void onListing(Listing listing);

        void onChange(Entry entry);

        /** Whether the last call was answered. */
        void onStore(boolean reachable);
    }

    /** Lists the entries and follows them from then on. */
    public void start() {
        followed = NONE;
        TimerThread.hear(timers, store.list(prefix), this::onListed);
    }

    private void onListed(Listing listing, Throwable failure) {
        listener.onStore(failure == null);
        if (failure != null) {
            timers.after(Jitter.around(RETRY, random), this::start);
            return;
        }
        listener.onListing(listing);
        watch(listing.revision());
    }

    /** Watches anew from where it stands: the watch under way may wait on a connection that is dead. */
    public void refresh() {
        if (followed != NONE) {
            watch(followed);
        }
    }

    private void watch(long revision) {
        followed = revision;
        int number = ++watches;
        TimerThread.hear(timers, store.changes(prefix, revision, wait), (changes, failure) -> {
            if (number == watches) {
                onWatched(revision, changes, failure);
            }
        });
    }

    private void onWatched(long revision, Changes changes, Throwable failure) {
        listener.onStore(failure == null);
        if (failure != null) {
            watchAfter(Jitter.around(RETRY, random), revision);
        } else if (changes.historyGone()) {
            start();
        } else {
            changes.entries().forEach(listener::onChange);
            watchAfter(gather, changes.revision());
        }
    }

    private void watchAfter(Duration pause, long revision) {
        followed = revision;
        int ended = watches;
        timers.after(pause, () -> {
            if (ended == watches) {
                watch(revision);
            }
        });
    }
}
