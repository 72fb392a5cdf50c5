package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import io.beryldock.store.PlatformException;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.StoredValue;
import io.beryldock.wire.ConfigurationBlock;
import io.beryldock.wire.ConfigurationPart;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Reads the configuration from the platform store: the head, blocks of earlier changes and snapshots.
 *
 * <p>Immutable, thread safe. The futures fail with a {@link PlatformException}.
 */
final class ConfigurationStore {

    private final PlatformStore store;

    private ConfigurationStore(PlatformStore store) {
        this.store = store;
    }

    static ConfigurationStore of(PlatformStore store) {
        return new ConfigurationStore(store);
    }

    CompletableFuture<Optional<StoredHead>> readHead() {
        return store.get(StoreKeys.HEAD).thenCompose(ConfigurationStore::decodeHead);
    }

    static CompletableFuture<Optional<StoredHead>> decodeHead(Optional<StoredValue> stored) {
        try {
            return CompletableFuture.completedFuture(
                    stored.isPresent() ? Optional.of(StoredHead.decode(stored.get())) : Optional.empty());
        } catch (PlatformException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /**
     * Loads the configuration at the head's version with as few reads as possible: only the changes since {@code known}
     * if the store still has them, otherwise the snapshot and the changes since.
     */
    CompletableFuture<DocumentCodec.Document> load(StoredHead head, Configuration known) {
        boolean knownIsAncestor = known.lineage().equals(head.lineage()) && known.version() <= head.version();
        if (knownIsAncestor && known.version() >= head.snapshot().version()) {
            return applyChanges(head, known);
        }
        return snapshot(head).thenCompose(base -> applyChanges(head, base));
    }

    private CompletableFuture<DocumentCodec.Document> applyChanges(StoredHead head, Configuration base) {
        return changes(head, base.version())
                .thenApply(records -> new DocumentCodec.Document(base.after(records), records));
    }

    /**
     * Reads all changes after the version up to the head's version, oldest first; fails if the store no longer has them
     * all.
     */
    CompletableFuture<ImmutableList<ChangeRecord>> changes(StoredHead head, long after) {
        if (after >= head.reach()) {
            return CompletableFuture.completedFuture(head.after(after));
        }
        long first = StoreKeys.blockOf(after + 1);
        long last = StoreKeys.blockOf(head.reach());
        if (last - first >= StoreKeys.BLOCKS) {
            return unreadable("changes after version " + after + " are no longer kept");
        }
        List<CompletableFuture<ImmutableList<ChangeRecord>>> blocks = new ArrayList<>();
        for (long block = first; block <= last; block++) {
            blocks.add(block(head.lineage(), block));
        }
        return FutureLists.all(blocks).thenCompose(lists -> joined(lists, head, after));
    }

    private static CompletableFuture<ImmutableList<ChangeRecord>> joined(
            List<ImmutableList<ChangeRecord>> blocks, StoredHead head, long after) {
        ImmutableList.Builder<ChangeRecord> all = ImmutableList.builder();
        blocks.stream()
                .flatMap(List::stream)
                .filter(record -> record.version() > after && record.version() <= head.reach())
                .forEach(all::add);
        ImmutableList<ChangeRecord> joined = all.addAll(head.records()).build();
        ImmutableList<ChangeRecord> following = ActiveConfiguration.contiguousAfter(after, joined);
        if (following.size() != head.version() - after) {
            return unreadable("changes after version " + after + " were replaced while they were read");
        }
        return CompletableFuture.completedFuture(following);
    }

    private CompletableFuture<ImmutableList<ChangeRecord>> block(String lineage, long number) {
        return store.get(StoreKeys.block(lineage, number)).thenCompose(stored -> decodeBlock(stored, number));
    }

    private static CompletableFuture<ImmutableList<ChangeRecord>> decodeBlock(
            Optional<StoredValue> stored, long number) {
        try {
            if (stored.isPresent()) {
                ConfigurationBlock block =
                        ConfigurationBlock.parseFrom(stored.get().value());
                if (block.getNumber() == number) {
                    return CompletableFuture.completedFuture(RecordCodec.decode(block.getRecordsList()));
                }
            }
            return unreadable("block " + number + " of changes is missing");
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return unreadable("block " + number + " of changes can't be read");
        }
    }

    private CompletableFuture<Configuration> snapshot(StoredHead head) {
        SnapshotRef ref = head.snapshot();
        List<CompletableFuture<ConfigurationPart>> parts = new ArrayList<>();
        for (int i = 0; i < ref.parts(); i++) {
            String key = StoreKeys.part(head.lineage(), ref.slot(), i);
            parts.add(store.get(key).thenCompose(stored -> decodePart(stored, ref)));
        }
        return FutureLists.all(parts).thenCompose(list -> decodeSnapshot(list, ref));
    }

    private static CompletableFuture<ConfigurationPart> decodePart(Optional<StoredValue> stored, SnapshotRef ref) {
        try {
            if (stored.isPresent()) {
                ConfigurationPart part =
                        ConfigurationPart.parseFrom(stored.get().value());
                if (part.getVersion() == ref.version() && part.getHash() == ref.hash()) {
                    return CompletableFuture.completedFuture(part);
                }
            }
            return unreadable("the snapshot at version " + ref.version() + " was replaced while it was read");
        } catch (InvalidProtocolBufferException e) {
            return unreadable("the snapshot at version " + ref.version() + " can't be read");
        }
    }

    private static CompletableFuture<Configuration> decodeSnapshot(List<ConfigurationPart> parts, SnapshotRef ref) {
        try {
            return CompletableFuture.completedFuture(DocumentCodec.join(parts).configuration());
        } catch (IOException e) {
            return unreadable("the snapshot at version " + ref.version() + " can't be read: " + e.getMessage());
        }
    }

    private static <T> CompletableFuture<T> unreadable(String problem) {
        return CompletableFuture.failedFuture(new PlatformException(problem + "; read the head again"));
    }
}
