package io.beryldock.store;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's small key-value service: a few hundred writes and 2,000 reads a second over all, with outages.
 *
 * <p>Thread safe. Futures complete on any thread; the store never blocks its caller. A future fails only with a
 * {@link PlatformException}. Values hold up to {@link #MAX_VALUE_BYTES}.
 */
public interface PlatformStore {

    int MAX_VALUE_BYTES = 1 << 20;

    /** Version that stands for a key without a value. */
    long ABSENT = 0;

    /** The value under the key, empty when there is none. */
    CompletableFuture<Optional<StoredValue>> get(String key);

    /**
     * Writes the value if the key still has the expected version, {@link #ABSENT} for none.
     *
     * <p>Never fails: a lost answer is {@link WriteResult.Kind#UNKNOWN}, the write may have taken effect.
     */
    CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value);

    /**
     * Takes or renews the lease of that name for the holder; true when the holder has it now.
     *
     * <p>A lease is a hint for sharing out work: the holder may be paused and outlive it, so safety never rests on it.
     */
    CompletableFuture<Boolean> lease(String name, String holder, Duration length);

    /** Completes with the value as soon as its version exceeds {@code afterVersion}, or empty after {@code wait}. */
    CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait);
}
