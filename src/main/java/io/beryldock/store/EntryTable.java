package io.beryldock.store;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.wire.StoreEntry;
import io.beryldock.wire.StorePart;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The entries under one prefix of the store as this node knows them, whoever told it.
 *
 * <p>Invariants: of one key the change with the highest revision is kept; every change up to {@link #revision()} is in
 * the table. Not thread safe.
 */
final class EntryTable {

    /** Revision of a table that was never filled. */
    static final long EMPTY = 0;

    /** How long removals are remembered: a node that lagged for longer is sent all there is. */
    private static final long REMOVAL_HOLD = Duration.ofSeconds(30).toNanos();

    private final String prefix;
    private final Map<String, Entry> present = new HashMap<>();
    private final Map<String, Removal> removed = new HashMap<>();
    private long revision = EMPTY;
    private long forgotten = EMPTY;

    EntryTable(String prefix) {
        this.prefix = prefix;
    }

    /** A key that was removed, with which revision and when this node heard of it. */
    private record Removal(long revision, long at) {}

    /** Up to which revision of the store every change is known. */
    long revision() {
        return revision;
    }

    boolean hasEntries() {
        return !present.isEmpty();
    }

    /** Every change up to this revision is in the table now. */
    void advance(long to) {
        revision = Math.max(revision, to);
    }

    /** Whether the change is later than what is known of its key. */
    boolean isNews(Entry entry) {
        return entry.revision() > known(entry.key());
    }

    /** Takes one change that is news. */
    void take(Entry entry, long now) {
        if (entry.value().isPresent()) {
            present.put(entry.key(), entry);
            removed.remove(entry.key());
        } else {
            present.remove(entry.key());
            removed.put(entry.key(), new Removal(entry.revision(), now));
        }
    }

    private long known(String key) {
        Entry entry = present.get(key);
        if (entry != null) {
            return entry.revision();
        }
        Removal removal = removed.get(key);
        return removal == null ? EMPTY : removal.revision();
    }

    /**
     * The changes that lead from what is known to the listing.
     *
     * <p>None when the listing is older than the table: a store that reads from a copy behind the rest lists what has
     * long been removed. An entry written after the listing was made is not gone.
     */
    ImmutableList<Entry> changesTo(Listing listing) {
        if (listing.revision() < revision) {
            return ImmutableList.of();
        }
        ImmutableList.Builder<Entry> changes = ImmutableList.builder();
        Set<String> listed = new HashSet<>();
        for (Entry entry : listing.entries()) {
            listed.add(entry.key());
            if (isNews(entry)) {
                changes.add(entry);
            }
        }
        for (Entry entry : present.values()) {
            if (!listed.contains(entry.key()) && entry.revision() <= listing.revision()) {
                changes.add(new Entry(entry.key(), listing.revision(), Optional.empty()));
            }
        }
        return changes.build();
    }

    /** What changed after the revision, in full when that reaches further back than removals are remembered. */
    StorePart since(long after, long now) {
        forgetRemovals(now);
        StorePart.Builder part =
                StorePart.newBuilder().setPrefix(prefix).setRevision(revision).setSince(after);
        boolean whole = after <= forgotten;
        part.setWhole(whole);
        present.values().stream()
                .filter(entry -> whole || entry.revision() > after)
                .forEach(entry -> part.addEntries(StoreEntry.newBuilder()
                        .setKey(entry.key())
                        .setRevision(entry.revision())
                        .setValue(entry.value().orElse(ByteString.EMPTY))));
        removed.forEach((key, removal) -> {
            if (!whole && removal.revision() > after) {
                part.addEntries(StoreEntry.newBuilder().setKey(key).setRevision(removal.revision()));
            }
        });
        return part.build();
    }

    private void forgetRemovals(long now) {
        removed.values().removeIf(removal -> {
            boolean old = now - removal.at() > REMOVAL_HOLD;
            if (old) {
                forgotten = Math.max(forgotten, removal.revision());
            }
            return old;
        });
    }
}
