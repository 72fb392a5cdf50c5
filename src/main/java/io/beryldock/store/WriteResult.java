package io.beryldock.store;

import java.util.Optional;

/**
 * The result of a compare-and-set. Immutable.
 *
 * @param version the new version if the write was applied, otherwise 0
 * @param current the stored value that caused a conflict
 */
public record WriteResult(Kind kind, long version, Optional<StoredValue> current) {

    /** Possible outcomes of a compare-and-set. */
    public enum Kind {
        APPLIED,
        CONFLICT,
        /** The write has not taken effect and won't: the store is unreachable or rejected the write. */
        NOT_APPLIED,
        /** No answer arrived: the write may have taken effect, and the caller has to read the key to find out. */
        UNKNOWN
    }

    public static WriteResult applied(long version) {
        return new WriteResult(Kind.APPLIED, version, Optional.empty());
    }

    public static WriteResult conflict(Optional<StoredValue> current) {
        return new WriteResult(Kind.CONFLICT, 0, current);
    }

    public static WriteResult notApplied() {
        return new WriteResult(Kind.NOT_APPLIED, 0, Optional.empty());
    }

    public static WriteResult unknown() {
        return new WriteResult(Kind.UNKNOWN, 0, Optional.empty());
    }
}
