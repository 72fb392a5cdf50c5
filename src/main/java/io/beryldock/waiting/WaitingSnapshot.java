package io.beryldock.waiting;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.organisation.OrganisationName;

/**
 * State of the requests that wait at an entry node at one point in time, for operators and metrics. Immutable.
 *
 * @param waitingByRank number of waiting requests, one element per rank
 * @param bytes memory held for them
 * @param longestWaitNanos longest wait of a waiting request so far, 0 when none waits
 * @param covered requests that started on credits since the node started
 * @param refused refusals since the node started
 * @param served organisations that were recently granted the most slot time, the largest first
 */
public record WaitingSnapshot(
        ImmutableList<Integer> waitingByRank,
        long bytes,
        long longestWaitNanos,
        long covered,
        ImmutableMap<RefusalCause, Long> refused,
        ImmutableList<Served> served) {

    /**
     * Recent service of an organisation.
     *
     * @param slotNanos slot time of the call trees that it started
     */
    public record Served(OrganisationName organisation, long slotNanos) {}

    /** Total number of waiting requests. */
    public int waiting() {
        return waitingByRank.stream().mapToInt(Integer::intValue).sum();
    }
}
