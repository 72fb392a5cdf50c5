package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import java.util.TreeMap;

/**
 * State of credits at one node, for operators and metrics. Immutable.
 *
 * @param asEntry one row for each service that is in shortage at this node
 * @param asHome one row for each service for which the node was recently home node in its data centre
 */
public record CreditSnapshot(ImmutableList<EntryRow> asEntry, ImmutableList<HomeRow> asHome) {

    /**
     * Demand and credits of an entry node for one service.
     *
     * @param governed whether trees require credits of the service
     * @param isShort whether the last answer of the home node reported claims beyond the capacity
     */
    public record EntryRow(String service, boolean governed, boolean isShort, ImmutableList<RankRow> ranks) {}

    /** Slot time of one rank in milliseconds; {@code granted} is the sum since the shortage began. */
    public record RankRow(int rank, double wanted, double held, double debt, double granted) {}

    /**
     * Allocation by a home node for one service.
     *
     * @param slots capacity of the gates in its data centre for the next round
     * @param gain factor that corrects the gates' limits to what the gates really serve
     * @param reporting number of gates that are nearly full
     * @param targets number of targets of the service in the data centre
     * @param wanted slots that all reachable data centres want
     * @param available slots that all reachable data centres have
     * @param givenMillis slot time of each rank that the node granted since it became home node
     */
    public record HomeRow(
            String service,
            double slots,
            double gain,
            int reporting,
            int targets,
            double wanted,
            double available,
            ImmutableList<Double> givenMillis) {}

    /** Sums the values of claimants by rank. Not thread safe. */
    static final class ByRank {
        private static final double NANOS_PER_MILLI = 1e6;

        private final TreeMap<Integer, RankRow> rows = new TreeMap<>();

        void add(int rank, double wanted, double held, double debt) {
            RankRow row = row(rank);
            rows.put(
                    rank,
                    new RankRow(
                            rank,
                            row.wanted() + wanted / NANOS_PER_MILLI,
                            row.held() + held / NANOS_PER_MILLI,
                            row.debt() + debt / NANOS_PER_MILLI,
                            row.granted()));
        }

        void granted(int rank, double nanos) {
            RankRow row = row(rank);
            if (nanos > 0) {
                rows.put(rank, new RankRow(rank, row.wanted(), row.held(), row.debt(), nanos / NANOS_PER_MILLI));
            }
        }

        private RankRow row(int rank) {
            return rows.getOrDefault(rank, new RankRow(rank, 0, 0, 0, 0));
        }

        ImmutableList<RankRow> rows() {
            return ImmutableList.copyOf(rows.values());
        }
    }
}
