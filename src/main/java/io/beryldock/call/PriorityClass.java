package io.beryldock.call;

/**
 * Class of importance that operators give to requests.
 *
 * <p>Immutable. Rank 0 is shed last (orders, reservations, programme starts), rank {@value #LOWEST_RANK} first (idle
 * browsing). Several classes may share a rank.
 */
public record PriorityClass(String name, int rank) {

    /** Number of ranks. */
    public static final int RANKS = 8;

    /** The rank that is shed first. */
    public static final int LOWEST_RANK = RANKS - 1;

    public PriorityClass {
        Names.check("priority class", name, ServiceName.MAX_LENGTH);
        if (rank < 0 || rank > LOWEST_RANK) {
            throw new IllegalArgumentException("priority must be 0 (shed last) to 7 (shed first): " + rank);
        }
    }

    public static PriorityClass of(String name, int rank) {
        return new PriorityClass(name, rank);
    }
}
