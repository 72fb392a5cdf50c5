package io.beryldock.store;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client interface of the platform's key-value service, which serves a few hundred writes and 2,000 reads per second in
 * total and has outages.
 *
 * <p>Thread safe. Futures complete on any thread; the store never blocks its caller. A future fails only with a
 * {@link PlatformException}. Values hold up to {@link #MAX_VALUE_BYTES}.
 */
public interface PlatformStore {

    int MAX_VALUE_BYTES = 1 << 20;

    /** Version of a key that has no value. */
    long ABSENT = 0;

    /** The value under the key, empty when there is none. */
    CompletableFuture<Optional<StoredValue>> get(String key);

    /**
     * Writes the value if the key still has the expected version, {@link #ABSENT} for a key without a value.
     *
     * <p>The future never fails: a lost answer gives {@link WriteResult.Kind#UNKNOWN}, as the write may have taken
     * effect.
     */
    CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value);

    /**
     * Takes or renews the named lease for the holder; true when the holder has it now.
     *
     * <p>A lease is a hint for distributing work. A holder may be paused until after its lease has expired, so safety
     * must not depend on leases.
     */
    CompletableFuture<Boolean> lease(String name, String holder, Duration length);

    /** Completes with the value as soon as its version exceeds {@code afterVersion}, or empty after {@code wait}. */
    CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait);
}
