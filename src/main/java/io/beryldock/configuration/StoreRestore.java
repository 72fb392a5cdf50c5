package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.WriteResult;
import io.beryldock.timeline.EventKind;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Writes this node's configuration to a store that has lost accepted changes.
 *
 * <p>Confined to the control thread. If the store is reset to an earlier state, later changes get versions that nodes
 * already hold, and would come into force on no node. The document is therefore written under a new lineage and with a
 * version at least {@value #GAP} above this node's version, which no node of the old lineage can have reached.
 */
final class StoreRestore {

    /** Distance to the restored version: more changes than are made in two months. */
    static final long GAP = 1 << 20;

    private final WriterContext context;
    private final String operator;
    private final String lineage;

    private StoreRestore(WriterContext context, String operator) {
        this.context = context;
        this.operator = operator;
        this.lineage = context.newLineage();
    }

    static StoreRestore of(WriterContext context, String operator) {
        return new StoreRestore(context, operator);
    }

    CompletableFuture<ChangeResult> run() {
        Configuration current = context.activeConfiguration().current();
        return context.reader()
                .readHead()
                .thenComposeAsync(head -> write(head, current), context.control())
                .exceptionally(failure -> storeUnavailable());
    }

    private CompletableFuture<ChangeResult> write(Optional<StoredHead> head, Configuration current) {
        if (head.isPresent() && head.get().version() >= current.version()) {
            return CompletableFuture.completedFuture(new ChangeResult.Rejected(
                    "the platform store holds version " + head.get().version() + " and lost nothing",
                    "nothing needs to be done"));
        }
        long blocks = (current.version() + GAP) / StoreKeys.BLOCK + 1;
        Configuration document = current.withVersion(lineage, blocks * StoreKeys.BLOCK);
        long expected = head.map(StoredHead::storeVersion).orElse(PlatformStore.ABSENT);
        return context.compactor()
                .writeSnapshot(document, 0)
                .thenCompose(ref -> ref.map(snapshot -> writeHead(document, snapshot, expected))
                        .orElseGet(() -> CompletableFuture.completedFuture(storeUnavailable())));
    }

    private CompletableFuture<ChangeResult> writeHead(Configuration document, SnapshotRef snapshot, long expected) {
        StoredHead head = new StoredHead(expected, lineage, document.version(), snapshot, ImmutableList.of());
        return context.store()
                .compareAndSet(StoreKeys.HEAD, expected, head.encode())
                .thenApplyAsync(result -> onWritten(result, document), context.control());
    }

    private ChangeResult onWritten(WriteResult result, Configuration document) {
        return switch (result.kind()) {
            case APPLIED -> accepted(document);
            case UNKNOWN -> new ChangeResult.Unknown(lineage, "look at show configuration in a few seconds");
            case CONFLICT -> new ChangeResult.NotAccepted("another operator wrote first; look at show configuration");
            case NOT_APPLIED -> storeUnavailable();
        };
    }

    private ChangeResult accepted(Configuration document) {
        context.activeConfiguration().adopt(document, ImmutableList.of());
        context.events()
                .record(
                        EventKind.CONFIGURATION_CHANGED,
                        "version " + document.version(),
                        "store restored by " + operator);
        return new ChangeResult.Accepted(document.version(), lineage);
    }

    private static ChangeResult storeUnavailable() {
        return new ChangeResult.NotAccepted("the platform store can't be reached; restore it when it is back");
    }
}
