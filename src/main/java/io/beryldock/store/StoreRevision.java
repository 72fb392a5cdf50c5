package io.beryldock.store;

import java.util.Comparator;

/**
 * A place in the history of the store: a revision and the era of the store that gave it out.
 *
 * <p>Immutable. All revisions of an era come after those of earlier ones. Numbers alone don't tell which of two changes
 * is later: a store that came back from an older copy gives the same ones out again.
 *
 * @param era rises each time that the store comes back from an older copy
 * @param number rises with each change within an era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {

    /** Before any revision. */
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
