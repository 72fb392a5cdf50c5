package io.beryldock.idempotency;

import com.google.protobuf.ByteString;
import io.beryldock.platform.PlatformStore;
import io.beryldock.platform.StoredValue;
import io.beryldock.platform.WriteResult;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

/** A store whose write results are changed on their way, given the expected version. */
record ForwardingStore(PlatformStore store, BiFunction<Long, WriteResult, WriteResult> change)
        implements PlatformStore {

    @Override
    public CompletableFuture<Optional<StoredValue>> get(String key) {
        return store.get(key);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
        return store.compareAndSet(key, expectedVersion, value)
                .thenApply(result -> change.apply(expectedVersion, result));
    }

    @Override
    public CompletableFuture<Boolean> lease(String name, String holder, Duration length) {
        return store.lease(name, holder, length);
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
        return store.watch(key, afterVersion, wait);
    }
}
