package io.beryldock.credit;

import com.google.common.collect.ImmutableList;
import java.util.TreeMap;

/**
 * Credits at one node, for operators and metrics. Immutable.
 *
 * @param asEntry one row for each service that is short here
 * @param asHome one row for each service whose home in its data centre the node has been of late
 */
public record CreditSnapshot(ImmutableList<EntryRow> asEntry, ImmutableList<HomeRow> asHome) {

    /**
     * What an entry wants and holds of one service.
     *
     * @param governed whether trees need credits of it
     * @param isShort whether the home's last answer told that more is wanted than there is
     */
    public record EntryRow(String service, boolean governed, boolean isShort, ImmutableList<RankRow> ranks) {}

    /** Slot time of one rank in milliseconds; {@code granted} is the sum since the service became short. */
    public record RankRow(int rank, double wanted, double held, double debt, double granted) {}

    /**
     * What a home gives out of one service.
     *
     * @param slots that its data centre's gates can serve in the next round
     * @param gain by which the slots are corrected for what gates really serve
     * @param reporting gates that are nearly full
     * @param targets of the service in the data centre
     * @param wanted slots that all data centres in touch want
     * @param available slots that all data centres in touch have
     * @param givenMillis slot time given out here since the node became the home
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

    /** Sums the claimants of each rank. Not thread safe. */
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
