package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.WriteResult;
import io.beryldock.timeline.EventKind;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Gives a store that lost accepted changes the configuration of this node.
 *
 * <p>On the control thread only. The failure: the store is set back to an earlier state; later changes would get
 * versions that nodes hold already and be in force nowhere. The document is therefore written under a new lineage and a
 * version {@value #GAP} or more above this node's, which no node of the old lineage can have reached.
 */
final class StoreRestore {

    /** More changes than are made in two months. */
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
        Configuration known = context.keeper().current();
        return context.reader()
                .readHead()
                .thenComposeAsync(head -> write(head, known), context.control())
                .exceptionally(failure -> storeDown());
    }

    private CompletableFuture<ChangeResult> write(Optional<StoredHead> head, Configuration known) {
        if (head.isPresent() && head.get().version() >= known.version()) {
            return CompletableFuture.completedFuture(new ChangeResult.Rejected(
                    "the platform store holds version " + head.get().version() + " and lost nothing",
                    "nothing needs to be done"));
        }
        long blocks = (known.version() + GAP) / StoreKeys.BLOCK + 1;
        Configuration document = known.at(lineage, blocks * StoreKeys.BLOCK);
        long expected = head.map(StoredHead::storeVersion).orElse(PlatformStore.ABSENT);
        return context.compactor()
                .writeSnapshot(document, 0)
                .thenCompose(ref -> ref.map(snapshot -> writeHead(document, snapshot, expected))
                        .orElseGet(() -> CompletableFuture.completedFuture(storeDown())));
    }

    private CompletableFuture<ChangeResult> writeHead(Configuration document, SnapshotRef snapshot, long expected) {
        StoredHead head = new StoredHead(expected, lineage, document.version(), snapshot, ImmutableList.of());
        return context.store()
                .compareAndSet(StoreKeys.HEAD, expected, head.encode())
                .thenApplyAsync(result -> written(result, document), context.control());
    }

    private ChangeResult written(WriteResult result, Configuration document) {
        return switch (result.kind()) {
            case APPLIED -> accepted(document);
            case UNKNOWN -> new ChangeResult.Unknown(lineage, "look at show configuration in a few seconds");
            case CONFLICT -> new ChangeResult.NotAccepted("another operator wrote first; look at show configuration");
            case NOT_APPLIED -> storeDown();
        };
    }

    private ChangeResult accepted(Configuration document) {
        context.keeper().take(document, ImmutableList.of());
        context.events()
                .record(
                        EventKind.CONFIGURATION_CHANGED,
                        "version " + document.version(),
                        "store restored by " + operator);
        return new ChangeResult.Accepted(document.version(), lineage);
    }

    private static ChangeResult storeDown() {
        return new ChangeResult.NotAccepted("the platform store can't be reached; restore it when it is back");
    }
}
