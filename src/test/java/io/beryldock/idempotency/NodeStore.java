package io.beryldock.idempotency;

import com.google.protobuf.ByteString;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.StoredValue;
import io.beryldock.store.WriteResult;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** The platform store as a node sees it: some calls are held up on the way, answers wait while the node is paused. */
final class NodeStore implements PlatformStore {

    private final SimulatedNode node;
    private final PlatformStore store;
    private final SimulatedNetwork network;
    private final ManualTimerService time;
    private final boolean trusting;

    /** A trusting node takes a write whose answer was lost for done. */
    NodeStore(
            SimulatedNode node,
            PlatformStore store,
            SimulatedNetwork network,
            ManualTimerService time,
            boolean trusting) {
        this.node = node;
        this.store = store;
        this.network = network;
        this.time = time;
        this.trusting = trusting;
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> get(String key) {
        return atNode(() -> store.get(key));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
        return atNode(() -> store.compareAndSet(key, expectedVersion, value))
                .thenApply(result -> trusting && result.kind() == WriteResult.Kind.UNKNOWN
                        ? WriteResult.applied(expectedVersion + 1)
                        : result);
    }

    @Override
    public CompletableFuture<Boolean> lease(String name, String holder, Duration length) {
        return atNode(() -> store.lease(name, holder, length));
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
        return atNode(() -> store.watch(key, afterVersion, wait));
    }

    private <T> CompletableFuture<T> atNode(Supplier<CompletableFuture<T>> call) {
        CompletableFuture<T> seen = new CompletableFuture<>();
        if (network.chance(20)) {
            time.after(network.delay(), () -> answer(call.get(), seen));
        } else {
            answer(call.get(), seen);
        }
        return seen;
    }

    private <T> void answer(CompletableFuture<T> answer, CompletableFuture<T> seen) {
        FutureCallbacks.onEnd(
                answer,
                (value, failure) -> node.post(() -> {
                    if (failure == null) {
                        seen.complete(value);
                    } else {
                        seen.completeExceptionally(failure);
                    }
                }));
    }
}
