package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.StoredValue;
import io.beryldock.store.WriteResult;
import io.beryldock.wire.ConfigurationBlock;
import io.beryldock.wire.ConfigurationPart;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Moves changes out of a head that has grown: a block of its oldest to the ring of blocks and now and then a snapshot.
 *
 * <p>Immutable, thread safe. Nothing refers to what it writes until the head does, so a failure leaves the old state
 * whole; the change then goes into the head as it is.
 *
 * <p>A value in a ring is replaced only by a later one, and only by compare-and-set. That guards against a writer that
 * was paused between its read and its write: with an old value it would overwrite the snapshot that the head refers to
 * now, and every node that starts would fail to read it.
 */
final class StoreCompactor {

    /** Size of a part of a snapshot, half of what the store takes. */
    static final int PART_BYTES = PlatformStore.MAX_VALUE_BYTES / 2;

    private final PlatformStore store;

    private StoreCompactor(PlatformStore store) {
        this.store = store;
    }

    static StoreCompactor of(PlatformStore store) {
        return new StoreCompactor(store);
    }

    /** A shorter head, or the same one when it is short enough or a write failed. */
    CompletableFuture<StoredHead> compact(StoredHead head, Configuration atHead) {
        if (head.records().size() < 2 * StoreKeys.BLOCK) {
            return CompletableFuture.completedFuture(head);
        }
        return writeBlock(head).thenCompose(written -> {
            if (!written) {
                return CompletableFuture.completedFuture(head);
            }
            StoredHead shorter = head.without(head.reach() + StoreKeys.BLOCK);
            boolean fresh = shorter.reach() - head.snapshot().version() < StoreKeys.SNAPSHOT_SPACING;
            return fresh ? CompletableFuture.completedFuture(shorter) : snapshotted(shorter, atHead);
        });
    }

    private CompletableFuture<StoredHead> snapshotted(StoredHead head, Configuration atHead) {
        int slot = (head.snapshot().slot() + 1) % StoreKeys.SNAPSHOT_SLOTS;
        return writeSnapshot(atHead, slot)
                .thenApply(ref -> ref.map(head::withSnapshot).orElse(head));
    }

    private CompletableFuture<Boolean> writeBlock(StoredHead head) {
        long number = StoreKeys.blockOf(head.reach() + 1);
        ConfigurationBlock block = ConfigurationBlock.newBuilder()
                .setNumber(number)
                .addAllRecords(RecordCodec.encode(head.records().subList(0, StoreKeys.BLOCK)))
                .build();
        String key = StoreKeys.block(head.lineage(), number);
        return replaceEarlier(key, block.toByteString(), number, StoreCompactor::blockNumber);
    }

    private static long blockNumber(ByteString value) throws InvalidProtocolBufferException {
        return ConfigurationBlock.parseFrom(value).getNumber();
    }

    /** Writes all parts of a snapshot; empty when one could not be written. */
    CompletableFuture<Optional<SnapshotRef>> writeSnapshot(Configuration document, int slot) {
        ImmutableList<ConfigurationPart> parts =
                DocumentCodec.cut(document.version(), DocumentCodec.encode(document, ImmutableList.of()), PART_BYTES);
        List<CompletableFuture<Boolean>> writes = new ArrayList<>();
        for (ConfigurationPart part : parts) {
            String key = StoreKeys.part(document.lineage(), slot, part.getIndex());
            writes.add(replaceEarlier(key, part.toByteString(), document.version(), StoreCompactor::partVersion));
        }
        long hash = parts.get(0).getHash();
        SnapshotRef ref = new SnapshotRef(document.version(), slot, parts.size(), hash);
        return FutureLists.all(writes).thenApply(all -> all.contains(false) ? Optional.empty() : Optional.of(ref));
    }

    private static long partVersion(ByteString value) throws InvalidProtocolBufferException {
        return ConfigurationPart.parseFrom(value).getVersion();
    }

    /** Reads the order of a stored value; a later one is never replaced by an earlier. */
    @FunctionalInterface
    private interface OrderOf {
        long read(ByteString value) throws InvalidProtocolBufferException;
    }

    private CompletableFuture<Boolean> replaceEarlier(String key, ByteString value, long order, OrderOf orderOf) {
        return store.get(key)
                .thenCompose(old -> {
                    if (old.isPresent() && old.get().value().equals(value)) {
                        return CompletableFuture.completedFuture(true);
                    }
                    if (old.isPresent() && !isEarlier(old.get(), order, orderOf)) {
                        return CompletableFuture.completedFuture(false);
                    }
                    long expected = old.map(StoredValue::version).orElse(PlatformStore.ABSENT);
                    return store.compareAndSet(key, expected, value)
                            .thenCompose(result -> isWritten(result, key, value));
                })
                .exceptionally(failure -> false);
    }

    private static boolean isEarlier(StoredValue old, long order, OrderOf orderOf) {
        try {
            return orderOf.read(old.value()) < order;
        } catch (InvalidProtocolBufferException e) {
            return true;
        }
    }

    private CompletableFuture<Boolean> isWritten(WriteResult result, String key, ByteString value) {
        if (result.kind() == WriteResult.Kind.APPLIED) {
            return CompletableFuture.completedFuture(true);
        }
        // Two writers at the same head write the same bytes, so it does not matter whose were taken.
        return store.get(key)
                .thenApply(now -> now.isPresent() && now.get().value().equals(value));
    }
}
