package io.beryldock.store;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.time.Moment;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerThread;
import io.beryldock.wire.StoreEntry;
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
    private long told = EntryTable.EMPTY;
    private boolean behind;
    private Moment listingAsked;
    private long unreadRevision = EntryTable.EMPTY;

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

    long revision() {
        return table.revision();
    }

    /** What the store told this node last, before which others know all that it can tell them. */
    long told() {
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
        boolean ahead = watcher && table.revision() > follower.followed();
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

    StorePart since(long revision) {
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
                applyListing(listing);
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
    void noteVerified(Moment asked, long revision) {
        boolean taken = table.revision() >= revision && unreadRevision == EntryTable.EMPTY;
        if (taken && (verified == null || asked.isAfter(verified))) {
            verified = asked;
        }
    }

    /** When the store had surely nothing newer than what this node has taken in; empty before that was ever known. */
    Optional<Moment> verified() {
        return Optional.ofNullable(verified);
    }

    /** Takes what another node told; false when changes before it are missing. */
    boolean take(StorePart part) {
        if (part.getWhole()) {
            applyListing(listing(part));
            return true;
        }
        part.getEntriesList().forEach(entry -> onChange(entry(entry)));
        if (part.getSince() > table.revision()) {
            return false;
        }
        table.advance(part.getRevision());
        return true;
    }

    private static Listing listing(StorePart part) {
        ImmutableList.Builder<Entry> entries = ImmutableList.builder();
        part.getEntriesList().forEach(entry -> entries.add(entry(entry)));
        return new Listing(entries.build(), part.getRevision());
    }

    private static Entry entry(StoreEntry wire) {
        return new Entry(
                wire.getKey(), wire.getRevision(), wire.hasValue() ? Optional.of(wire.getValue()) : Optional.empty());
    }

    /** The follower may have asked for it later than at its start, which makes what it shows no older. */
    @Override
    public void onListing(Listing listing) {
        applyListing(listing);
        noteVerified(listingAsked, listing.revision());
    }

    private void applyListing(Listing listing) {
        if (listing.revision() < table.revision()) {
            log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "a listing of %s at revision %d is older than revision %d, which is known: it is passed over",
                    prefix, listing.revision(), table.revision());
        }
        table.changesTo(listing).forEach(this::onChange);
        table.advance(listing.revision());
    }

    @Override
    public void onChange(Entry entry) {
        if (!table.isNews(entry)) {
            log.atFine().log("%s at revision %d is no news", entry.key(), entry.revision());
            return;
        }
        if (listener.onEntry(entry)) {
            table.take(entry, timers.ticker().nanos());
            unreadRevision = entry.revision() >= unreadRevision ? EntryTable.EMPTY : unreadRevision;
        } else {
            unreadRevision = Math.max(unreadRevision, entry.revision());
        }
    }

    @Override
    public void onCaughtUp(long revision) {
        table.advance(revision);
        owner.onNews(this);
        told = Math.max(told, revision);
    }

    @Override
    public void onStore(boolean answered) {
        listener.onStore(answered);
        owner.onStore(answered);
    }
}
