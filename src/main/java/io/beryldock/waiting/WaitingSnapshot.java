package io.beryldock.waiting;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.organisation.OrganisationName;

/**
 * What waits at an entry at one moment, for operators and metrics. Immutable.
 *
 * @param waitingByRank requests that wait, one number a rank
 * @param bytes held for them
 * @param longestWaitNanos wait of the one that has waited longest, 0 when none waits
 * @param covered requests that started on credits since the node started
 * @param refused refusals since the node started
 * @param served organisations that were given most of late, the largest first
 */
public record WaitingSnapshot(
        ImmutableList<Integer> waitingByRank,
        long bytes,
        long longestWaitNanos,
        long covered,
        ImmutableMap<RefusalCause, Long> refused,
        ImmutableList<Served> served) {

    /**
     * What an organisation was given of late.
     *
     * @param slotNanos slot time of the trees that it started
     */
    public record Served(OrganisationName organisation, long slotNanos) {}

    /** All requests that wait. */
    public int waiting() {
        return waitingByRank.stream().mapToInt(Integer::intValue).sum();
    }
}
