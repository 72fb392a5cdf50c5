package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.TargetNotice;
import java.util.Arrays;
import java.util.Collection;

/**
 * State of a gate at one point in time, for operators and metrics.
 *
 * <p>Immutable.
 *
 * @param queuedByRank number of queued requests, one element per rank
 * @param shedByRank refusals since the gate was created, one map per rank
 * @param level admission level, see {@link io.beryldock.call.ServiceLevel}
 * @param minServiceNanos shortest mean service time of a recent window, 0 when unknown
 * @param meanServiceNanos smoothed service time, 0 when unknown
 * @param leaving whether the target has said in its answers that it is leaving
 * @param ratePerSecond requests per second that the target accepts by its answers, infinite without a limit
 */
public record GateSnapshot(
        int limit,
        int inFlight,
        int abandoned,
        ImmutableList<Integer> queuedByRank,
        ImmutableList<ImmutableMap<Reason, Long>> shedByRank,
        long admitted,
        int level,
        long minServiceNanos,
        long meanServiceNanos,
        boolean draining,
        boolean leaving,
        double ratePerSecond) {

    static ImmutableList<Integer> countByRank(Collection<GateEntry> queue) {
        Integer[] queued = new Integer[PriorityClass.RANKS];
        Arrays.fill(queued, 0);
        queue.forEach(entry -> queued[entry.request().rank()]++);
        return ImmutableList.copyOf(queued);
    }

    static int countAbandoned(Collection<GateEntry> running) {
        return (int) running.stream()
                .filter(entry -> entry.state() == GateEntry.State.ABANDONED)
                .count();
    }

    /** Whether the target names a rate limit. */
    public boolean isRateLimited() {
        return ratePerSecond < TargetNotice.UNLIMITED;
    }

    /** Number of requests refused because the target had used up its rate. */
    public long rateLimited() {
        return shedByRank.stream()
                .mapToLong(shed -> shed.getOrDefault(Reason.RATE_LIMITED, 0L))
                .sum();
    }

    /** Total number of queued requests. */
    public int queued() {
        return queuedByRank.stream().mapToInt(Integer::intValue).sum();
    }
}
