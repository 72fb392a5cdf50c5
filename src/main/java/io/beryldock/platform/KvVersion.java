package io.beryldock.platform;

import io.beryldock.store.StoreRevision;

/**
 * Versions of values that rise over eras of the store: the era stands in the upper bits, the revision in the lower.
 *
 * <p>Stateless, thread safe.
 */
final class KvVersion {

    /** Enough for a thousand changes a second over five hundred years. */
    private static final int NUMBER_BITS = 44;

    private static final long NUMBER_MASK = (1L << NUMBER_BITS) - 1;

    private KvVersion() {}

    static long of(StoreRevision revision) {
        return revision.era() << NUMBER_BITS | revision.number();
    }

    static StoreRevision revision(long version) {
        return new StoreRevision(version >>> NUMBER_BITS, version & NUMBER_MASK);
    }
}
