package io.beryldock.idempotency;

import com.google.protobuf.ByteString;
import io.beryldock.platform.PlatformStore;
import io.beryldock.platform.StoredValue;
import io.beryldock.platform.WriteResult;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform store as a node sees it: answers wait while the node is paused and are lost once it is dead. */
final class NodeStore implements PlatformStore {

    private final SimulatedNode node;
    private final PlatformStore store;

    NodeStore(SimulatedNode node, PlatformStore store) {
        this.node = node;
        this.store = store;
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> get(String key) {
        return atNode(store.get(key));
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
        return atNode(store.compareAndSet(key, expectedVersion, value));
    }

    @Override
    public CompletableFuture<Boolean> lease(String name, String holder, Duration length) {
        return atNode(store.lease(name, holder, length));
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
        return atNode(store.watch(key, afterVersion, wait));
    }

    private <T> CompletableFuture<T> atNode(CompletableFuture<T> answer) {
        CompletableFuture<T> seen = new CompletableFuture<>();
        FutureCallbacks.onEnd(
                answer,
                (value, failure) -> node.post(() -> {
                    if (failure == null) {
                        seen.complete(value);
                    } else {
                        seen.completeExceptionally(failure);
                    }
                }));
        return seen;
    }
}
