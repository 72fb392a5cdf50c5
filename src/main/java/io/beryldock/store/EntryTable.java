package io.beryldock.store;

import com.google.common.collect.ImmutableList;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.wire.StorePart;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The entries under one prefix of the store as this node knows them, received from the store or from other nodes.
 *
 * <p>Invariants: for each key the table keeps the change with the highest revision; every change up to
 * {@link #revision()} is in the table; the table enters a later era of the store only through a listing made in that
 * era. Not thread safe.
 */
final class EntryTable {

    /** Retention period of tombstones: a node that lags further behind is sent the complete listing. */
    private static final long TOMBSTONE_RETENTION = Duration.ofSeconds(30).toNanos();

    private final String prefix;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Tombstone> tombstones = new HashMap<>();
    private StoreRevision revision = StoreRevision.NONE;
    private StoreRevision lastDiscarded = StoreRevision.NONE;
    private StoreRevision lastChange = StoreRevision.NONE;

    EntryTable(String prefix) {
        this.prefix = prefix;
    }

    /** The tombstone of a removed key, with the time at which this node recorded it. */
    private record Tombstone(Entry entry, long recordedAt) {

        StoreRevision revision() {
            return entry.revision();
        }
    }

    /** The revision up to which every change is known; {@link StoreRevision#NONE} before the first listing. */
    StoreRevision revision() {
        return revision;
    }

    /** The revision of the latest change that was applied; {@link StoreRevision#NONE} before the first one. */
    StoreRevision lastChange() {
        return lastChange;
    }

    boolean hasEntries() {
        return !entries.isEmpty();
    }

    /** Records that the table now holds every change up to this revision. */
    void advance(StoreRevision to) {
        revision = StoreRevision.later(revision, to);
    }

    /**
     * Whether the change is newer than the known state of its key.
     *
     * <p>A change of an earlier era never is: the store may have lost the change, and an answer that contains it may
     * have been delayed.
     */
    boolean isNewer(Entry entry) {
        boolean earlierEra = entry.revision().era() < revision.era();
        return !earlierEra && entry.revision().isAfter(known(entry.key()));
    }

    /** Applies one change, which must be newer than the known state of its key. */
    void apply(Entry entry, long now) {
        lastChange = StoreRevision.later(lastChange, entry.revision());
        if (entry.value().isPresent()) {
            entries.put(entry.key(), entry);
            tombstones.remove(entry.key());
        } else {
            entries.remove(entry.key());
            tombstones.put(entry.key(), new Tombstone(entry, now));
        }
    }

    private StoreRevision known(String key) {
        Entry entry = entries.get(key);
        if (entry != null) {
            return entry.revision();
        }
        Tombstone tombstone = tombstones.get(key);
        return tombstone == null ? StoreRevision.NONE : tombstone.revision();
    }

    /** Whether the listing is older than the table: it was made by a replica that lags, or its answer was delayed. */
    boolean isOutdated(Listing listing) {
        return revision.isAfter(listing.revision());
    }

    /**
     * The changes that lead from the known state to the listing, in the order of their revisions.
     *
     * <p>Empty when the listing is outdated, as it may list entries that have since been removed. An entry that was
     * written after the listing was made does not count as removed.
     */
    ImmutableList<Entry> changesTo(Listing listing) {
        if (isOutdated(listing)) {
            return ImmutableList.of();
        }
        ImmutableList.Builder<Entry> changes = ImmutableList.builder();
        Set<String> listed = new HashSet<>();
        for (Entry entry : listing.entries()) {
            listed.add(entry.key());
            if (isNewer(entry) && !isCopied(entry)) {
                changes.add(entry);
            }
        }
        for (Entry entry : entries.values()) {
            boolean later = entry.revision().isAfter(listing.revision());
            if (!listed.contains(entry.key()) && !later) {
                changes.add(new Entry(entry.key(), listing.revision(), Optional.empty()));
            }
        }
        return ImmutableList.sortedCopyOf(Comparator.comparing(Entry::revision), changes.build());
    }

    /** Whether the same change was known before the store was restored from a copy that contains it. */
    private boolean isCopied(Entry entry) {
        Entry known = entries.get(entry.key());
        return known != null
                && known.revision().number() == entry.revision().number()
                && known.value().equals(entry.value());
    }

    /**
     * The changes after the revision, or all entries when the revision precedes the tombstone retention period or
     * belongs to another era.
     */
    StorePart since(StoreRevision after, long now) {
        discardExpiredTombstones(now);
        boolean whole = !after.isSameEra(revision) || !after.isAfter(lastDiscarded);
        StorePart.Builder part =
                StoreParts.part(prefix, revision).setSince(after.number()).setWhole(whole);
        Stream<Entry> listedTombstones =
                whole ? Stream.empty() : tombstones.values().stream().map(Tombstone::entry);
        Stream.concat(entries.values().stream(), listedTombstones)
                .filter(entry -> whole || entry.revision().isAfter(after))
                .forEach(entry -> part.addEntries(StoreParts.entry(entry)));
        return part.build();
    }

    private void discardExpiredTombstones(long now) {
        tombstones.values().removeIf(tombstone -> {
            boolean expired = now - tombstone.recordedAt() > TOMBSTONE_RETENTION;
            if (expired) {
                lastDiscarded = StoreRevision.later(lastDiscarded, tombstone.revision());
            }
            return expired;
        });
    }
}
