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

/**
 * The platform store as seen by one node: some calls are delayed on the way, and answers wait while the node is paused.
 */
final class NodeStore implements PlatformStore {

    private final SimulatedNode node;
    private final PlatformStore store;
    private final SimulatedNetwork network;
    private final ManualTimerService time;
    private final boolean assumeApplied;

    /**
     * Creates the view of one node. If {@code assumeApplied} is set, a write with an unknown result is reported as
     * applied.
     */
    NodeStore(
            SimulatedNode node,
            PlatformStore store,
            SimulatedNetwork network,
            ManualTimerService time,
            boolean assumeApplied) {
        this.node = node;
        this.store = store;
        this.network = network;
        this.time = time;
        this.assumeApplied = assumeApplied;
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> get(String key) {
        return atNode(() -> store.get(key));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
        return atNode(() -> store.compareAndSet(key, expectedVersion, value))
                .thenApply(written -> assumeApplied && written.kind() == WriteResult.Kind.UNKNOWN
                        ? WriteResult.applied(expectedVersion + 1)
                        : written);
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
        CompletableFuture<T> result = new CompletableFuture<>();
        if (network.chance(20)) {
            time.after(network.delay(), () -> answer(call.get(), result));
        } else {
            answer(call.get(), result);
        }
        return result;
    }

    private <T> void answer(CompletableFuture<T> answer, CompletableFuture<T> result) {
        FutureCallbacks.onComplete(
                answer,
                (value, failure) -> node.post(() -> {
                    if (failure == null) {
                        result.complete(value);
                    } else {
                        result.completeExceptionally(failure);
                    }
                }));
    }
}
