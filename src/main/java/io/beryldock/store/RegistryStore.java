package io.beryldock.store;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The part of the platform's store through which nodes find each other: entries under leases, listed and watched.
 *
 * <p>Thread safe. Futures complete on any thread; the store never blocks its caller. A future fails only with a
 * {@link PlatformException}; a write that failed may have taken effect. A lease only removes entries of nodes that have
 * gone; no safety rests on it.
 */
public interface RegistryStore {

    /** The eras that this node has heard of; each answer of the store names its own before its future completes. */
    StoreEras eras();

    /** All entries whose key has the prefix; not a snapshot, but nothing after its revision is missed by a watch. */
    CompletableFuture<Listing> list(String prefix);

    /** Completes with what changed under the prefix after the revision, or empty after {@code wait}. */
    CompletableFuture<Changes> changes(String prefix, StoreRevision after, Duration wait);

    /** Completes when the store answers; a call that costs next to nothing. */
    CompletableFuture<Void> probe();

    /** Grants a lease and tells its number. */
    CompletableFuture<Long> grantLease(Duration length);

    /** Renews the lease; false when it has ended. */
    CompletableFuture<Boolean> renewLease(long lease);

    /** Ends the lease and removes its entries. */
    CompletableFuture<Void> endLease(long lease);

    /** Writes the entry under the lease, whatever it held; false when the lease has ended. */
    CompletableFuture<Boolean> put(String key, ByteString value, long lease);

    /** An entry as written, or its removal. Immutable. */
    record Entry(String key, StoreRevision revision, Optional<ByteString> value) {}

    /** Entries and a revision after which changes follow. Immutable. */
    record Listing(ImmutableList<Entry> entries, StoreRevision revision) {}

    /**
     * Changes in their order. Those of another era than the one that was asked about continue nothing. Immutable.
     *
     * @param historyGone the store no longer knows what changed: list again
     * @param revision from where to go on
     */
    record Changes(boolean historyGone, ImmutableList<Entry> entries, StoreRevision revision) {}
}
