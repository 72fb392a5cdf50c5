package io.beryldock.configuration;

import com.google.protobuf.ByteString;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.StoredValue;
import io.beryldock.store.WriteResult;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

/** A store that reports lost answers as another result. */
class MisreportingStore implements PlatformStore {

    private final PlatformStore store;
    private final UnaryOperator<WriteResult> reportedResult;

    MisreportingStore(PlatformStore store, UnaryOperator<WriteResult> reportedResult) {
        this.store = store;
        this.reportedResult = reportedResult;
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> get(String key) {
        return store.get(key);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
        return store.compareAndSet(key, expectedVersion, value)
                .thenApply(result -> result.kind() == WriteResult.Kind.UNKNOWN ? reportedResult.apply(result) : result);
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
