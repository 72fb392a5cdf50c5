package io.beryldock.platform;

import io.beryldock.store.StoreRevision;

/**
 * Encodes a store revision as a version number that increases across eras of the store: the upper bits hold the era,
 * the lower bits the revision number.
 *
 * <p>Stateless, thread safe.
 */
final class KvVersion {

    /** Bits for the revision number, enough for a thousand changes per second over five hundred years. */
    private static final int REVISION_BITS = 44;

    private static final long REVISION_MASK = (1L << REVISION_BITS) - 1;

    private KvVersion() {}

    static long of(StoreRevision revision) {
        return revision.era() << REVISION_BITS | revision.number();
    }

    static StoreRevision revision(long version) {
        return new StoreRevision(version >>> REVISION_BITS, version & REVISION_MASK);
    }
}
