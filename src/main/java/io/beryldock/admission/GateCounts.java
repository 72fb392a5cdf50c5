package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts of a gate's decisions since its creation. Guarded by the gate's lock. */
final class GateCounts {

    private final List<Map<Reason, Long>> shed = new ArrayList<>();
    private long submitted;
    private long admitted;
    private long refused;

    GateCounts() {
        for (int rank = 0; rank < PriorityClass.RANKS; rank++) {
            shed.add(new EnumMap<>(Reason.class));
        }
    }

    void submitted() {
        submitted++;
    }

    void admitted() {
        admitted++;
    }

    void refused(int rank, Reason reason) {
        refused++;
        shed.get(rank).merge(reason, 1L, Long::sum);
    }

    long admittedTotal() {
        return admitted;
    }

    /** Whether each submitted request is either decided exactly once or still queued. */
    boolean balanced(int queued) {
        return submitted == admitted + refused + queued;
    }

    ImmutableList<ImmutableMap<Reason, Long>> shedByRank() {
        return shed.stream().map(ImmutableMap::copyOf).collect(ImmutableList.toImmutableList());
    }
}
