package io.beryldock.membership;

import com.google.protobuf.ByteString;
import io.beryldock.store.RegistryStore.ConditionalWrite;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.store.StoreRevision;
import java.util.List;
import java.util.Optional;

/**
 * An entry of the store that only this node writes, as the node last saw it.
 *
 * <p>Confined to the control thread. Each write is conditional on the entry last seen, so that a write without an
 * answer can't be applied after a later one.
 */
final class OwnEntry {

    private final String key;
    private StoreRevision revision = StoreRevision.NONE;
    private Optional<ByteString> value = Optional.empty();

    OwnEntry(String key) {
        this.key = key;
    }

    String key() {
        return key;
    }

    /** The value last seen; empty if the entry did not exist. */
    Optional<ByteString> value() {
        return value;
    }

    boolean holds(ByteString expected) {
        return value.filter(expected::equals).isPresent();
    }

    /** Returns the write that replaces the entry last seen. */
    ConditionalWrite replacement(ByteString next, long lease) {
        return new ConditionalWrite(key, next, lease, value.isPresent() ? revision : StoreRevision.NONE);
    }

    /** Applies a listing that this node has requested. */
    void onListing(Listing listing) {
        onAnswer(listing.entries());
        if (value.isEmpty()) {
            revision = listing.revision();
        }
    }

    /** Applies an answer of the store that lists the entry if it exists. */
    void onAnswer(List<Entry> entries) {
        Optional<Entry> found =
                entries.stream().filter(entry -> entry.key().equals(key)).findAny();
        found.ifPresent(entry -> revision = entry.revision());
        value = found.flatMap(Entry::value);
    }

    void onWritten(StoreRevision at, ByteString written) {
        revision = at;
        value = Optional.of(written);
    }

    /** Applies a change that a watch reports; returns false if the node has seen a later state of the entry. */
    boolean onChange(Entry change) {
        if (!change.revision().isAfter(revision)) {
            return false;
        }
        revision = change.revision();
        value = change.value();
        return true;
    }

    /** Records that the lease of the entry has ended. */
    void onLeaseEnded() {
        value = Optional.empty();
    }
}
