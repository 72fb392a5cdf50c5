package io.beryldock.store;

import com.google.common.collect.ImmutableList;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.time.TimerService;
import io.beryldock.wire.StoreEntry;
import io.beryldock.wire.StorePart;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * One prefix of the store, followed by this node itself while it is a watcher and through other nodes otherwise.
 *
 * <p>Used on the thread of the timers only. The listener hears each change of a key once, in the order of its
 * revisions, whoever told it.
 */
final class SharedFollower implements StoreFollower.Listener {

    private final TimerService timers;
    private final EntryTable table;
    private final EntryListener listener;
    private final Owner owner;
    private final StoreFollower follower;
    private boolean watcher;
    private long told = EntryTable.EMPTY;
    private boolean behind;

    SharedFollower(
            String prefix,
            Duration gather,
            EntryListener listener,
            Owner owner,
            RegistryStore store,
            TimerService timers,
            RandomGenerator random) {
        this.timers = timers;
        this.table = new EntryTable(prefix);
        this.listener = listener;
        this.owner = owner;
        this.follower = StoreFollower.create(store, prefix, gather, () -> watcher, timers, random, this);
    }

    /** Reads the entries once. */
    void start() {
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

    /** Takes what another node told; false when changes before it are missing. */
    boolean take(StorePart part) {
        if (part.getWhole()) {
            onListing(listing(part));
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

    @Override
    public void onListing(Listing listing) {
        table.changesTo(listing).forEach(this::onChange);
        table.advance(listing.revision());
    }

    @Override
    public void onChange(Entry entry) {
        if (table.isNews(entry) && listener.onEntry(entry)) {
            table.take(entry, timers.ticker().nanos());
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
