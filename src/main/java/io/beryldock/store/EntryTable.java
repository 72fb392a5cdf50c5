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
 * The entries under one prefix of the store as this node knows them, whoever told it.
 *
 * <p>Invariants: of one key the change with the highest revision is kept; every change up to {@link #revision()} is in
 * the table; it enters a later era of the store only by a listing of it. Not thread safe.
 */
final class EntryTable {

    /** How long removals are remembered: a node that lagged for longer is sent all there is. */
    private static final long REMOVAL_HOLD = Duration.ofSeconds(30).toNanos();

    private final String prefix;
    private final Map<String, Entry> present = new HashMap<>();
    private final Map<String, Removal> removed = new HashMap<>();
    private StoreRevision revision = StoreRevision.NONE;
    private StoreRevision forgotten = StoreRevision.NONE;

    EntryTable(String prefix) {
        this.prefix = prefix;
    }

    /** The removal of a key and when this node heard of it. */
    private record Removal(Entry entry, long at) {

        StoreRevision revision() {
            return entry.revision();
        }
    }

    /** Up to which revision of the store every change is known; {@link StoreRevision#NONE} before the first listing. */
    StoreRevision revision() {
        return revision;
    }

    boolean hasEntries() {
        return !present.isEmpty();
    }

    /** Every change up to this revision is in the table now. */
    void advance(StoreRevision to) {
        revision = StoreRevision.later(revision, to);
    }

    /**
     * Whether the change is later than what is known of its key.
     *
     * <p>None of an earlier era is: it may have been lost, and an answer that tells of it may come late.
     */
    boolean isNews(Entry entry) {
        boolean earlierEra = entry.revision().era() < revision.era();
        return !earlierEra && entry.revision().isAfter(known(entry.key()));
    }

    /** Takes one change that is news. */
    void take(Entry entry, long now) {
        if (entry.value().isPresent()) {
            present.put(entry.key(), entry);
            removed.remove(entry.key());
        } else {
            present.remove(entry.key());
            removed.put(entry.key(), new Removal(entry, now));
        }
    }

    private StoreRevision known(String key) {
        Entry entry = present.get(key);
        if (entry != null) {
            return entry.revision();
        }
        Removal removal = removed.get(key);
        return removal == null ? StoreRevision.NONE : removal.revision();
    }

    /** Whether the listing was made before the last change that is known: by a copy behind the rest, or long ago. */
    boolean isOutdated(Listing listing) {
        return revision.isAfter(listing.revision());
    }

    /**
     * The changes that lead from what is known to the listing, in the order of their revisions.
     *
     * <p>None when the listing is outdated: it lists what has long been removed. An entry written after the listing was
     * made is not gone.
     */
    ImmutableList<Entry> changesTo(Listing listing) {
        if (isOutdated(listing)) {
            return ImmutableList.of();
        }
        ImmutableList.Builder<Entry> changes = ImmutableList.builder();
        Set<String> listed = new HashSet<>();
        for (Entry entry : listing.entries()) {
            listed.add(entry.key());
            if (isNews(entry) && !isCopied(entry)) {
                changes.add(entry);
            }
        }
        for (Entry entry : present.values()) {
            boolean later = entry.revision().isAfter(listing.revision());
            if (!listed.contains(entry.key()) && !later) {
                changes.add(new Entry(entry.key(), listing.revision(), Optional.empty()));
            }
        }
        return ImmutableList.sortedCopyOf(Comparator.comparing(Entry::revision), changes.build());
    }

    /** Whether this very change was known before the store came back from a copy that holds it. */
    private boolean isCopied(Entry entry) {
        Entry known = present.get(entry.key());
        return known != null
                && known.revision().number() == entry.revision().number()
                && known.value().equals(entry.value());
    }

    /**
     * What changed after the revision; in full when that reaches further back than removals are remembered, or into
     * another era.
     */
    StorePart since(StoreRevision after, long now) {
        forgetRemovals(now);
        boolean whole = !after.isSameEra(revision) || !after.isAfter(forgotten);
        StorePart.Builder part =
                StoreParts.part(prefix, revision).setSince(after.number()).setWhole(whole);
        Stream<Entry> removals =
                whole ? Stream.empty() : removed.values().stream().map(Removal::entry);
        Stream.concat(present.values().stream(), removals)
                .filter(entry -> whole || entry.revision().isAfter(after))
                .forEach(entry -> part.addEntries(StoreParts.entry(entry)));
        return part.build();
    }

    private void forgetRemovals(long now) {
        removed.values().removeIf(removal -> {
            boolean old = now - removal.at() > REMOVAL_HOLD;
            if (old) {
                forgotten = StoreRevision.later(forgotten, removal.revision());
            }
            return old;
        });
    }
}
