package io.beryldock.store;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.store.RegistryStore.Entry;
import io.beryldock.store.RegistryStore.Listing;
import io.beryldock.wire.StoreEntry;
import io.beryldock.wire.StorePart;
import java.util.Optional;

/** Converts between entries of the store and the parts of the notices that nodes exchange. Stateless, thread safe. */
final class StoreParts {

    private StoreParts() {}

    /** Starts a part without entries, whose sender knows every change up to the revision. */
    static StorePart.Builder part(String prefix, StoreRevision revision) {
        return StorePart.newBuilder().setPrefix(prefix).setEra(revision.era()).setRevision(revision.number());
    }

    static StoreRevision revision(StorePart part) {
        return new StoreRevision(part.getEra(), part.getRevision());
    }

    /** The revision after which the part contains every change. */
    static StoreRevision since(StorePart part) {
        return new StoreRevision(part.getEra(), part.getSince());
    }

    /** The revision of the store at the sender's last check. */
    static StoreRevision checkedRevision(StorePart part) {
        return new StoreRevision(part.getEra(), part.getCheckedRevision());
    }

    /** The revision of the store at the sender's last verification. */
    static StoreRevision verifiedRevision(StorePart part) {
        return new StoreRevision(part.getEra(), part.getVerifiedRevision());
    }

    static StoreEntry entry(Entry entry) {
        StoreEntry.Builder wire = StoreEntry.newBuilder()
                .setKey(entry.key())
                .setEra(entry.revision().era())
                .setRevision(entry.revision().number());
        entry.value().ifPresent(wire::setValue);
        return wire.build();
    }

    /** The entry with its key and revision but without its value. */
    static StoreEntry withoutValue(Entry entry) {
        return entry(entry).toBuilder().clearValue().build();
    }

    static ImmutableList<Entry> entries(StorePart part) {
        return part.getEntriesList().stream().map(StoreParts::entry).collect(ImmutableList.toImmutableList());
    }

    static Entry entry(StoreEntry wire) {
        Optional<ByteString> value = wire.hasValue() ? Optional.of(wire.getValue()) : Optional.empty();
        return new Entry(wire.getKey(), new StoreRevision(wire.getEra(), wire.getRevision()), value);
    }

    /**
     * The listing that a complete part contains, with the revisions that its entries have in the era of the part: an
     * entry that the sender knew before the store was restored kept its number.
     */
    static Listing listing(StorePart part) {
        ImmutableList<Entry> entries = entries(part).stream()
                .map(entry -> new Entry(
                        entry.key(),
                        new StoreRevision(part.getEra(), entry.revision().number()),
                        entry.value()))
                .collect(ImmutableList.toImmutableList());
        return new Listing(entries, revision(part));
    }
}
