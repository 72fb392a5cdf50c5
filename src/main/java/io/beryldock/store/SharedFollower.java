package io.beryldock.store;

import com.google.common.flogger.FluentLogger;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.time.Moment;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerThread;
import io.beryldock.wire.StorePart;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * One prefix of the store, followed by this node itself while it is a watcher and through other nodes otherwise.
 *
 * <p>Used on the thread of the timers only. The listener hears each change of a key once, in the order of its
 * revisions, whoever told it.
 */
final class SharedFollower implements StoreFollower.Listener {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 1;

    private final String prefix;
    private final RegistryStore store;
    private final TimerService timers;
    private final Moment.Source clock;
    private final EntryTable table;
    private final EntryListener listener;
    private final Owner owner;
    private final StoreFollower follower;
    private boolean watcher;
    private StoreRevision told = StoreRevision.NONE;
    private boolean behind;
    private Moment listingAsked;
    private StoreRevision unreadRevision = StoreRevision.NONE;

    /** Written on the control thread only; traffic asks how old it is. */
    private volatile Moment verified;

    SharedFollower(
            String prefix,
            Duration gather,
            EntryListener listener,
            Owner owner,
            RegistryStore store,
            TimerService timers,
            Moment.Source clock,
            RandomGenerator random) {
        this.prefix = prefix;
        this.store = store;
        this.timers = timers;
        this.clock = clock;
        this.table = new EntryTable(prefix);
        this.listener = listener;
        this.owner = owner;
        this.follower = StoreFollower.create(store, prefix, gather, () -> watcher, timers, random, this);
    }

    /** Reads the entries once. */
    void start() {
        listingAsked = clock.now();
        follower.start();
    }

    /** What the follower is a part of. */
    interface Owner {

        /** The store told of changes up to a later revision. */
        void onNews(SharedFollower follower);

        /** A call of the store ended; {@code answered} tells whether by an answer. */
        void onStore(boolean answered);
    }

    boolean knowsEntries() {
        return table.hasEntries();
    }

    StoreRevision revision() {
        return table.revision();
    }

    /** What the store told this node last, before which others know all that it can tell them. */
    StoreRevision told() {
        return told;
    }

    /** Watches the store from now on, or no longer than the present watch. */
    void setWatcher(boolean value) {
        if (value && !watcher) {
            told = table.revision();
        }
        watcher = value;
        if (watcher) {
            follower.resume(table.revision());
        }
    }

    /**
     * Replaces the watch when others have been ahead of it for as long as between two calls of this.
     *
     * <p>A connection that has gone silent shows no error: the watch would wait for its whole time while the store has
     * news.
     */
    void replaceSilentWatch() {
        boolean ahead = watcher && table.revision().isAfter(follower.followed());
        if (ahead && behind) {
            follower.refreshFrom(table.revision());
        }
        behind = ahead && !behind;
    }

    void refresh() {
        if (watcher) {
            follower.refresh();
        }
    }

    /** The store is in this era: a watch that began in an earlier one waits for revisions that may never come. */
    void enterEra(long era) {
        if (!watcher || follower.followed().era() >= era) {
            return;
        }
        if (table.revision().era() >= era) {
            follower.refreshFrom(table.revision());
        } else {
            follower.start();
        }
    }

    StorePart since(StoreRevision revision) {
        return table.since(revision, timers.ticker().nanos());
    }

    /**
     * Asks the store whether it holds anything newer.
     *
     * <p>A watch that ends without news proves nothing of its last second: a store that tidies up its history may keep
     * changes from watches for as long. A reading does.
     */
    void verify() {
        Moment asked = clock.now();
        TimerThread.hear(timers, store.list(prefix), (listing, failure) -> {
            onStore(failure == null);
            if (failure == null) {
                applyStored(listing);
                onCaughtUp(listing.revision());
                noteVerified(asked, listing.revision());
            }
        });
    }

    /**
     * The store was asked at the moment or later and had nothing newer than the revision.
     *
     * <p>It counts only when this node has taken in all up to that revision, and can read the newest of it.
     */
    void noteVerified(Moment asked, StoreRevision revision) {
        boolean taken = !revision.isAfter(table.revision()) && unreadRevision.equals(StoreRevision.NONE);
        if (taken && (verified == null || asked.isAfter(verified))) {
            verified = asked;
        }
    }

    /** What the listener goes by and the store does not hold any more. */
    Optional<Entry> kept() {
        return listener.kept();
    }

    /** When the store had surely nothing newer than what this node has taken in; empty before that was ever known. */
    Optional<Moment> verified() {
        return Optional.ofNullable(verified);
    }

    /**
     * Takes what another node told; false when changes before it are missing.
     *
     * <p>Changes of an earlier era are no news, as what was not copied of that era is gone. Those of a later one say
     * nothing of what the store lost between them.
     */
    boolean take(StorePart part) {
        if (part.hasKept()) {
            listener.onKept(StoreParts.entry(part.getKept()));
        }
        if (part.getWhole()) {
            applyListing(StoreParts.listing(part));
            return true;
        }
        StoreRevision revision = StoreParts.revision(part);
        if (!revision.isSameEra(table.revision())) {
            return table.revision().isAfter(revision);
        }
        StoreParts.entries(part).forEach(this::onChange);
        if (StoreParts.since(part).isAfter(table.revision())) {
            return false;
        }
        table.advance(revision);
        return true;
    }

    /** The follower may have asked for it later than at its start, which makes what it shows no older. */
    @Override
    public void onListing(Listing listing) {
        applyStored(listing);
        noteVerified(listingAsked, listing.revision());
    }

    /** The store lists entries that can't be read as well, which other nodes pass over. */
    private void applyStored(Listing listing) {
        if (!table.isOutdated(listing)) {
            unreadRevision = StoreRevision.NONE;
        }
        applyListing(listing);
    }

    private void applyListing(Listing listing) {
        if (table.isOutdated(listing)) {
            log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "a listing of %s at revision %s is older than revision %s, which is known: it is passed over",
                    prefix, listing.revision(), table.revision());
            return;
        }
        table.changesTo(listing).forEach(this::onChange);
        table.advance(listing.revision());
    }

    @Override
    public void onChange(Entry entry) {
        if (!table.isNews(entry)) {
            log.atFine().log("%s at revision %s is no news", entry.key(), entry.revision());
            return;
        }
        if (listener.onEntry(entry)) {
            table.take(entry, timers.ticker().nanos());
            unreadRevision = unreadRevision.isAfter(entry.revision()) ? unreadRevision : StoreRevision.NONE;
        } else {
            unreadRevision = StoreRevision.later(unreadRevision, entry.revision());
        }
    }

    @Override
    public void onCaughtUp(StoreRevision revision) {
        table.advance(revision);
        owner.onNews(this);
        told = StoreRevision.later(told, revision);
    }

    @Override
    public void onStore(boolean answered) {
        listener.onStore(answered);
        owner.onStore(answered);
    }
}
