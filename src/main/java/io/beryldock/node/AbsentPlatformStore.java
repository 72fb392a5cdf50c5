package io.beryldock.node;

import com.google.protobuf.ByteString;
import io.beryldock.store.PlatformException;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.StoredValue;
import io.beryldock.store.WriteResult;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform store of a node whose settings contain none: every call fails. Stateless. */
final class AbsentPlatformStore implements PlatformStore {

    @Override
    public CompletableFuture<Optional<StoredValue>> get(String key) {
        return absent();
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
        return CompletableFuture.completedFuture(WriteResult.notApplied());
    }

    @Override
    public CompletableFuture<Boolean> lease(String name, String holder, Duration length) {
        return absent();
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
        return absent();
    }

    private static <T> CompletableFuture<T> absent() {
        return CompletableFuture.failedFuture(
                new PlatformException("no platform store is configured; set platform.url in the settings"));
    }
}
