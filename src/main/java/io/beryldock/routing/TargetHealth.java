package io.beryldock.routing;

import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;

/**
 * State of one target as seen by one node, for operators. Immutable.
 *
 * @param condition whether the target gets calls from this node
 * @param inFlight calls in flight from this node
 * @param latencyNanos moving average of the latency of its answers, 0 when unknown
 * @param level the admission level that its last answer reported
 * @param share its weight in the choice, 0 to 1; below 1 while it ramps up
 * @param freeSlots free slots of its latest load report minus the calls sent since, 0 when unknown
 * @param reportAgeNanos age of its latest load report, -1 when there is none
 * @param slowness latency relative to the average of calls of the same kind, 1 when unknown
 */
public record TargetHealth(
        NodeId node,
        ServiceName service,
        Condition condition,
        int inFlight,
        long latencyNanos,
        int level,
        double share,
        int freeSlots,
        long reportAgeNanos,
        double slowness) {

    /** Whether a target gets calls from this node. */
    public enum Condition {
        HEALTHY,
        /** The ejection time is over; one call at a time tests whether the target is healthy. */
        PROBED,
        EJECTED,
        /** The connection to its node was lost. */
        UNREACHABLE
    }
}
