package io.beryldock.admission;

import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceLevel;

/**
 * Demand for a target by rank, including the part that is shed, from which an amount of demand is converted into a
 * level.
 *
 * <p>Demand is not spread evenly over the scale of levels: whole ranks may be empty and one rank may hold most of it.
 * When entry nodes shed part of a rank, only callers with low hashes arrive; since hashes are uniform, twice their mean
 * is the admitted share of the rank. This estimate needs no knowledge of which entry node applies which level. The
 * share is assumed to be at least {@link #LEVEL_SHARE_WEIGHT} of what the lowest level of the last second admits:
 * otherwise one large caller with a low hash would look like a partly shed rank, and the rank would be shed for demand
 * that does not exist. When a rank is shed completely, nothing arrives from it and its last known demand is kept.
 * Amounts are in requests per step. Guarded by the gate's lock.
 */
final class DemandByRank {

    private static final double SLOW_WEIGHT = 0.05;
    static final double FAST_WEIGHT = 0.25;
    private static final double CHANGE_DEVIATIONS = 4;
    private static final double MIN_SHARE = 0.05;
    private static final double MIN_DEMAND = 1e-3;
    private static final double LEVEL_SHARE_WEIGHT = 0.7;
    private static final int LOWEST_LEVEL_RISE = ServiceLevel.OPEN / 50;

    private final double[] rates = new double[PriorityClass.RANKS];
    private final double[] hashes = new double[PriorityClass.RANKS];
    private final int[] arrived = new int[PriorityClass.RANKS];
    private final int[] hashSums = new int[PriorityClass.RANKS];
    private int lowestLevel = ServiceLevel.OPEN;
    private int total;
    private double fast;
    private double slow;

    void arrived(int rank, int callerHash) {
        arrived[rank]++;
        total++;
        hashSums[rank] += Math.floorMod(callerHash, ServiceLevel.STEPS) + 1;
    }

    /**
     * Ends a step.
     *
     * @param level the level in force at the end of the step
     */
    void step(int level) {
        lowestLevel = Math.min(level, lowestLevel + LOWEST_LEVEL_RISE);
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

    /** Arrivals per step over the last steps, smoothed with {@link #FAST_WEIGHT}. */
    double recent() {
        return fast;
    }

    /** Returns the level below which this amount of demand lies. */
    int level(double amount) {
        double remaining = amount;
        for (int rank = 0; rank < PriorityClass.RANKS; rank++) {
            double rankDemand = demand(rank);
            if (remaining < rankDemand) {
                return (int) (ServiceLevel.STEPS * (rank + remaining / rankDemand));
            }
            remaining -= rankDemand;
        }
        return ServiceLevel.OPEN;
    }

    /**
     * Returns the smoothing weight: low while arrivals stay within random variation, high once they leave that range.
     */
    private double weight() {
        fast += FAST_WEIGHT * (total - fast);
        double variation = Math.sqrt(Math.max(fast, slow) * FAST_WEIGHT / 2) + FAST_WEIGHT / CHANGE_DEVIATIONS;
        double weight = Math.abs(fast - slow) > CHANGE_DEVIATIONS * variation ? FAST_WEIGHT : SLOW_WEIGHT;
        slow += weight * (total - slow);
        return weight;
    }

    private double demand(int rank) {
        double byHash = rates[rank] == 0 ? 1 : Math.min(1, hashes[rank] / rates[rank]);
        double byLevel = LEVEL_SHARE_WEIGHT * Math.min(1, (double) lowestLevel / ServiceLevel.STEPS - rank);
        return MIN_DEMAND + rates[rank] / Math.max(MIN_SHARE, Math.max(byHash, byLevel));
    }
}
