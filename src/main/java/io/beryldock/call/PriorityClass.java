package io.beryldock.call;

import com.google.common.collect.ImmutableList;
import java.util.stream.IntStream;

/**
 * Priority that operators assign to requests.
 *
 * <p>Immutable. Rank 0 is shed last (orders, reservations, programme starts), rank {@value #LOWEST_RANK} first (idle
 * browsing). Several classes may share a rank.
 */
public record PriorityClass(String name, int rank) {

    /** Number of ranks. */
    public static final int RANKS = 8;

    /** The rank that is shed first. */
    public static final int LOWEST_RANK = RANKS - 1;

    private static final ImmutableList<PriorityClass> OF_RANK = IntStream.range(0, RANKS)
            .mapToObj(rank -> new PriorityClass("priority-" + rank, rank))
            .collect(ImmutableList.toImmutableList());

    public PriorityClass {
        Names.check("priority class", name, ServiceName.MAX_LENGTH);
        if (rank < 0 || rank > LOWEST_RANK) {
            throw new IllegalArgumentException("priority must be 0 (shed last) to 7 (shed first): " + rank);
        }
    }

    /** Class of a rank that was given without a name; equal ranks have equal names. */
    public static PriorityClass ofRank(int rank) {
        return OF_RANK.get(rank);
    }

    public static PriorityClass of(String name, int rank) {
        return new PriorityClass(name, rank);
    }
}
