package io.beryldock.store;

import java.util.Comparator;

/**
 * A position in the history of the store: a revision number and the era of the store that assigned it.
 *
 * <p>Immutable. All revisions of an era come after those of earlier eras. Numbers alone don't order changes, as a store
 * that was restored from an older copy assigns the same numbers again.
 *
 * @param era rises each time the store is restored from an older copy
 * @param number rises with each change within an era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {

    /** The position before all revisions. */
    public static final StoreRevision NONE = new StoreRevision(StoreEras.NONE, 0);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    static StoreRevision later(StoreRevision one, StoreRevision other) {
        return one.isAfter(other) ? one : other;
    }

    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    public boolean isSameEra(StoreRevision other) {
        return era == other.era;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return number + " of era " + era;
    }
}
