package io.beryldock.store;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client interface of the platform's store for service discovery: nodes write entries under leases, list and watch
 * them.
 *
 * <p>Thread safe. Futures complete on any thread; the store never blocks its caller. A future fails only with a
 * {@link PlatformException}; a write that failed may have taken effect. Leases only remove the entries of nodes that
 * are gone; safety must not depend on them.
 */
public interface RegistryStore {

    /** The lease of an entry that is kept until it is replaced. */
    long NO_LEASE = 0;

    /** The eras that this node knows. The era of each answer of the store is recorded before its future completes. */
    StoreEras eras();

    /**
     * Lists all entries whose key has the prefix. The listing is not a snapshot, but a watch from its revision misses
     * no change.
     */
    CompletableFuture<Listing> list(String prefix);

    /** Completes with the changes under the prefix after the revision, or without changes after {@code wait}. */
    CompletableFuture<Changes> changes(String prefix, StoreRevision after, Duration wait);

    /**
     * Reads the store's current revision, which is not older than the last write that the store confirmed before the
     * call; transfers no entries.
     */
    CompletableFuture<StoreRevision> revision();

    /** Grants a lease; the result is its number. */
    CompletableFuture<Long> grantLease(Duration length);

    /** Renews the lease; the result is false when the lease has ended. */
    CompletableFuture<Boolean> renewLease(long lease);

    /** Ends the lease and removes its entries. */
    CompletableFuture<Void> endLease(long lease);

    /**
     * Applies all writes if each of them still replaces the revision that it names, else none. A call that fails may be
     * applied later, under the same condition; a write of the same key that was applied before it prevents that.
     */
    CompletableFuture<WriteOutcome> write(ImmutableList<ConditionalWrite> writes);

    /**
     * A write of one key. Immutable.
     *
     * @param lease the lease that removes the entry when it ends, {@link #NO_LEASE} for none
     * @param replaced revision of the entry that is replaced, {@link StoreRevision#NONE} if there must not be one
     */
    record ConditionalWrite(String key, ByteString value, long lease, StoreRevision replaced) {}

    /**
     * The outcome of a call that the store has answered. Immutable.
     *
     * @param revision the revision of the writes, if they were applied
     * @param current the entries of the keys that exist, if a condition did not hold
     */
    record WriteOutcome(Kind kind, StoreRevision revision, ImmutableList<Entry> current) {

        /** Whether the writes were applied. */
        public enum Kind {
            APPLIED,
            /** An entry was not at the revision that its write replaces. */
            CONFLICT,
            LEASE_ENDED
        }

        public static WriteOutcome applied(StoreRevision revision) {
            return new WriteOutcome(Kind.APPLIED, revision, ImmutableList.of());
        }

        public static WriteOutcome conflict(ImmutableList<Entry> current) {
            return new WriteOutcome(Kind.CONFLICT, StoreRevision.NONE, current);
        }

        public static WriteOutcome leaseEnded() {
            return new WriteOutcome(Kind.LEASE_ENDED, StoreRevision.NONE, ImmutableList.of());
        }
    }

    /** An entry as written, or its removal when the value is empty. Immutable. */
    record Entry(String key, StoreRevision revision, Optional<ByteString> value) {}

    /** Entries under a prefix and the revision from which to watch for later changes. Immutable. */
    record Listing(ImmutableList<Entry> entries, StoreRevision revision) {}

    /**
     * Changes in the order of their revisions. If their era is not that of the requested revision, they don't continue
     * the history up to it. Immutable.
     *
     * @param historyGone whether the store has discarded the requested history, so that the entries must be listed
     *     again
     * @param revision the store's revision when it answered. Without entries it does not show that there are no changes
     *     up to it, as a store that discards its history may withhold changes from watches
     */
    record Changes(boolean historyGone, ImmutableList<Entry> entries, StoreRevision revision) {}
}
