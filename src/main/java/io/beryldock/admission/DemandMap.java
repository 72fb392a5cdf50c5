package io.beryldock.admission;

import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceLevel;

/**
 * What is asked of a target by rank, shed or not, so that an amount of demand can be turned into a level.
 *
 * <p>Demand is not spread evenly over the scale of levels: whole ranks may be empty and one may hold most of it. Of a
 * rank that entries shed in part only callers with low hashes arrive; as the hash is even, twice their mean hash tells
 * how large that part is. This needs no knowledge of which entry has learned which level when. The part is at least
 * most of what the lowest level of the last second admits: one large caller with a low hash looks like a rank that is
 * shed in part, and its rank would then be shed for demand that is not there. Of a rank that is shed whole nothing
 * arrives; its last known demand is kept. Amounts are in requests a step. Guarded by the gate's lock.
 */
final class DemandMap {

    private static final double SLOW_WEIGHT = 0.05;
    static final double FAST_WEIGHT = 0.25;
    private static final double CHANGE_DEVIATIONS = 4;
    private static final double MIN_SHARE = 0.05;
    private static final double MIN_DEMAND = 1e-3;
    private static final double TRUST_IN_LEVEL = 0.7;
    private static final int LOWEST_RISE = ServiceLevel.OPEN / 50;

    private final double[] rates = new double[PriorityClass.RANKS];
    private final double[] hashes = new double[PriorityClass.RANKS];
    private final int[] arrived = new int[PriorityClass.RANKS];
    private final int[] hashSums = new int[PriorityClass.RANKS];
    private int lowest = ServiceLevel.OPEN;
    private int total;
    private double fast;
    private double slow;

    void arrived(int rank, int callerHash) {
        arrived[rank]++;
        total++;
        hashSums[rank] += Math.floorMod(callerHash, ServiceLevel.STEPS) + 1;
    }

    /** Ends a step, at whose end this level is in force. */
    void step(int level) {
        lowest = Math.min(level, lowest + LOWEST_RISE);
        double weight = weight();
        for (int rank = 0; rank < PriorityClass.RANKS; rank++) {
            if (arrived[rank] > 0 || level > rank * ServiceLevel.STEPS) {
                rates[rank] += weight * (arrived[rank] - rates[rank]);
                hashes[rank] += weight * (2.0 * hashSums[rank] / ServiceLevel.STEPS - hashes[rank]);
            }
            arrived[rank] = 0;
            hashSums[rank] = 0;
        }
        total = 0;
    }

    /** Arrivals of the last steps, smoothed with {@link #FAST_WEIGHT}. */
    double recent() {
        return fast;
    }

    /** The level beneath which this much demand lies. */
    int level(double amount) {
        double left = amount;
        for (int rank = 0; rank < PriorityClass.RANKS; rank++) {
            double here = demand(rank);
            if (left < here) {
                return (int) (ServiceLevel.STEPS * (rank + left / here));
            }
            left -= here;
        }
        return ServiceLevel.OPEN;
    }

    /** Averages are slow while arrivals scatter as chance has it, and fast once they leave that range. */
    private double weight() {
        fast += FAST_WEIGHT * (total - fast);
        double scatter = Math.sqrt(Math.max(fast, slow) * FAST_WEIGHT / 2) + FAST_WEIGHT / CHANGE_DEVIATIONS;
        double weight = Math.abs(fast - slow) > CHANGE_DEVIATIONS * scatter ? FAST_WEIGHT : SLOW_WEIGHT;
        slow += weight * (total - slow);
        return weight;
    }

    private double demand(int rank) {
        double byHash = rates[rank] == 0 ? 1 : Math.min(1, hashes[rank] / rates[rank]);
        double byLevel = TRUST_IN_LEVEL * Math.min(1, (double) lowest / ServiceLevel.STEPS - rank);
        return MIN_DEMAND + rates[rank] / Math.max(MIN_SHARE, Math.max(byHash, byLevel));
    }
}
