package io.beryldock.admission;

import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceLevel;

/**
 * What is asked of a target by rank, shed or not, so that a share of all demand can be turned into a level.
 *
 * <p>Demand is not spread evenly over the scale of levels: whole ranks may be empty and one may hold most of it. Of a
 * rank that entries shed in part the callers with low hashes arrive; the highest hash seen tells how large that part is,
 * and since the hash is even the part stands for the whole. This needs no knowledge of when the entries learned which
 * level. Of a rank that is shed whole nothing arrives; its last known demand is kept. Guarded by the gate's lock.
 */
final class DemandMap {

    private static final double WEIGHT_UP = 0.2;
    private static final double WEIGHT_DOWN = 0.05;
    private static final double HIGHEST_DECAY = 0.9;
    private static final double MIN_DEMAND = 1e-3;

    private final double[] demand = new double[PriorityClass.RANKS];
    private final double[] highest = new double[PriorityClass.RANKS];
    private final int[] arrived = new int[PriorityClass.RANKS];
    private int total;

    void arrived(int rank, int callerHash) {
        arrived[rank]++;
        total++;
        highest[rank] = Math.max(highest[rank], Math.floorMod(callerHash, ServiceLevel.STEPS) + 1.0);
    }

    /** Requests that arrived since the last step. */
    int total() {
        return total;
    }

    /** Ends a step, at whose end this level is in force. */
    void step(double level) {
        for (int rank = 0; rank < PriorityClass.RANKS; rank++) {
            if (arrived[rank] > 0 || share(level, rank) > 0) {
                learn(rank);
            }
            arrived[rank] = 0;
            highest[rank] *= HIGHEST_DECAY;
        }
        total = 0;
    }

    private void learn(int rank) {
        double seen = arrived[rank] == 0 ? 0 : arrived[rank] * ServiceLevel.STEPS / Math.max(1, highest[rank]);
        double weight = seen > demand[rank] ? WEIGHT_UP : WEIGHT_DOWN;
        demand[rank] += weight * (seen - demand[rank]);
    }

    /** Demand below the level, in requests a step. */
    double below(double level) {
        double below = 0;
        for (int rank = 0; rank < PriorityClass.RANKS; rank++) {
            below += share(level, rank) * (demand[rank] + MIN_DEMAND);
        }
        return below;
    }

    /** The level beneath which this much demand lies, in requests a step. */
    double level(double below) {
        double left = below;
        for (int rank = 0; rank < PriorityClass.RANKS; rank++) {
            double here = demand[rank] + MIN_DEMAND;
            if (left < here) {
                return ServiceLevel.STEPS * (rank + left / here);
            }
            left -= here;
        }
        return ServiceLevel.OPEN;
    }

    private static double share(double level, int rank) {
        return Math.max(0, Math.min(1, level / ServiceLevel.STEPS - rank));
    }
}
