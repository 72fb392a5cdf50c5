package io.beryldock.store;

import java.util.Optional;

/**
 * What became of a compare-and-set. Immutable.
 *
 * @param version the new version when applied, else 0
 * @param current the value in the way when there was a conflict
 */
public record WriteResult(Kind kind, long version, Optional<StoredValue> current) {

    /** The ways a compare-and-set ends. */
    public enum Kind {
        APPLIED,
        CONFLICT,
        /** The store can't be reached and the write has not taken effect. */
        NOT_APPLIED,
        /** No answer came: the write may have taken effect. Read back to settle it. */
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
