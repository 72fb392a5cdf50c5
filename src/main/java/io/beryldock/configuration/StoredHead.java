package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.store.PlatformException;
import io.beryldock.store.StoredValue;
import io.beryldock.wire.ConfigurationHead;
import io.beryldock.wire.ConfigurationSnapshotRef;
import java.util.Optional;

/**
 * The value in the store whose compare-and-set orders all changes.
 *
 * <p>Immutable. Invariant: the records are the most recent changes, without gaps; the last record is the change that
 * created {@code version}.
 *
 * @param storeVersion version that the store assigned to the value, 0 before it is first written
 */
record StoredHead(
        long storeVersion, String lineage, long version, SnapshotRef snapshot, ImmutableList<ChangeRecord> records) {

    static StoredHead decode(StoredValue stored) throws PlatformException {
        try {
            ConfigurationHead head = ConfigurationHead.parseFrom(stored.value());
            return decode(stored.version(), head);
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new PlatformException(
                    "the value of " + StoreKeys.HEAD + " is not readable; see who else writes it, then restore", e);
        }
    }

    private static StoredHead decode(long storeVersion, ConfigurationHead head) {
        ConfigurationSnapshotRef ref = head.getSnapshot();
        return new StoredHead(
                storeVersion,
                head.getLineage(),
                head.getVersion(),
                new SnapshotRef(ref.getVersion(), ref.getSlot(), ref.getParts(), ref.getHash()),
                RecordCodec.decode(head.getRecordsList()));
    }

    ByteString encode() {
        ConfigurationSnapshotRef ref = ConfigurationSnapshotRef.newBuilder()
                .setVersion(snapshot.version())
                .setSlot(snapshot.slot())
                .setParts(snapshot.parts())
                .setHash(snapshot.hash())
                .build();
        return ConfigurationHead.newBuilder()
                .setLineage(lineage)
                .setVersion(version)
                .setSnapshot(ref)
                .addAllRecords(RecordCodec.encode(records))
                .build()
                .toByteString();
    }

    /** Returns the version before the oldest change in the head. */
    long reach() {
        return version - records.size();
    }

    /** Returns the change that created the version, if the head still contains it. */
    Optional<ChangeRecord> change(long ofVersion) {
        long index = ofVersion - reach() - 1;
        return index < 0 || index >= records.size() ? Optional.empty() : Optional.of(records.get((int) index));
    }

    /** Returns the changes in the head after the version. */
    ImmutableList<ChangeRecord> after(long ofVersion) {
        int from = (int) Math.min(records.size(), Math.max(0, ofVersion - reach()));
        return records.subList(from, records.size());
    }

    /** Returns the head with one more change. */
    StoredHead plus(ChangeRecord change) {
        ImmutableList<ChangeRecord> all = ImmutableList.<ChangeRecord>builderWithExpectedSize(records.size() + 1)
                .addAll(records)
                .add(change)
                .build();
        return new StoredHead(storeVersion, lineage, change.version(), snapshot, all);
    }

    StoredHead withSnapshot(SnapshotRef ref) {
        return new StoredHead(storeVersion, lineage, version, ref, records);
    }

    /** Returns the head without its oldest changes, up to and including the version. */
    StoredHead without(long upTo) {
        return new StoredHead(storeVersion, lineage, version, snapshot, after(upTo));
    }
}
