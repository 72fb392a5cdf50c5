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
 * Moves the oldest changes from a long head to a block in the ring of blocks and writes a snapshot from time to time.
 *
 * <p>Immutable, thread safe. Values written here are not referenced until the head refers to them, so a failure leaves
 * the previous state intact; the change is then added to the uncompacted head.
 *
 * <p>A value in a ring is replaced only by a later value, and only by compare-and-set. This guards against a writer
 * that was paused between its read and its write: it would overwrite the snapshot that the current head refers to with
 * an old value, and every starting node would fail to read the snapshot.
 */
final class StoreCompactor {

    /** Size of a snapshot part, half of the largest value that the store accepts. */
    static final int PART_BYTES = PlatformStore.MAX_VALUE_BYTES / 2;

    private final PlatformStore store;

    private StoreCompactor(PlatformStore store) {
        this.store = store;
    }

    static StoreCompactor of(PlatformStore store) {
        return new StoreCompactor(store);
    }

    /** Returns a shorter head, or the same head if it is short enough or a write failed. */
    CompletableFuture<StoredHead> compact(StoredHead head, Configuration configuration) {
        if (head.records().size() < 2 * StoreKeys.BLOCK) {
            return CompletableFuture.completedFuture(head);
        }
        return writeBlock(head).thenCompose(written -> {
            if (!written) {
                return CompletableFuture.completedFuture(head);
            }
            StoredHead shorter = head.without(head.reach() + StoreKeys.BLOCK);
            boolean recentSnapshot = shorter.reach() - head.snapshot().version() < StoreKeys.SNAPSHOT_SPACING;
            return recentSnapshot
                    ? CompletableFuture.completedFuture(shorter)
                    : withNewSnapshot(shorter, configuration);
        });
    }

    private CompletableFuture<StoredHead> withNewSnapshot(StoredHead head, Configuration configuration) {
        int slot = (head.snapshot().slot() + 1) % StoreKeys.SNAPSHOT_SLOTS;
        return writeSnapshot(configuration, slot)
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

    /** Writes all parts of a snapshot; completes with an empty result if a part could not be written. */
    CompletableFuture<Optional<SnapshotRef>> writeSnapshot(Configuration document, int slot) {
        ImmutableList<ConfigurationPart> parts =
                DocumentCodec.split(document.version(), DocumentCodec.encode(document, ImmutableList.of()), PART_BYTES);
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

    /** Reads the sequence number of a stored value; a value is never replaced by one with a lower number. */
    @FunctionalInterface
    private interface SequenceReader {
        long read(ByteString value) throws InvalidProtocolBufferException;
    }

    private CompletableFuture<Boolean> replaceEarlier(
            String key, ByteString value, long sequence, SequenceReader sequenceReader) {
        return store.get(key)
                .thenCompose(old -> {
                    if (old.isPresent() && old.get().value().equals(value)) {
                        return CompletableFuture.completedFuture(true);
                    }
                    if (old.isPresent() && !isEarlier(old.get(), sequence, sequenceReader)) {
                        return CompletableFuture.completedFuture(false);
                    }
                    long expected = old.map(StoredValue::version).orElse(PlatformStore.ABSENT);
                    return store.compareAndSet(key, expected, value)
                            .thenCompose(result -> verifyWritten(result, key, value));
                })
                .exceptionally(failure -> false);
    }

    private static boolean isEarlier(StoredValue old, long sequence, SequenceReader sequenceReader) {
        try {
            return sequenceReader.read(old.value()) < sequence;
        } catch (InvalidProtocolBufferException e) {
            return true;
        }
    }

    private CompletableFuture<Boolean> verifyWritten(WriteResult result, String key, ByteString value) {
        if (result.kind() == WriteResult.Kind.APPLIED) {
            return CompletableFuture.completedFuture(true);
        }
        // Writers with the same head write the same bytes, so it does not matter which write took effect.
        return store.get(key)
                .thenApply(now -> now.isPresent() && now.get().value().equals(value));
    }
}
