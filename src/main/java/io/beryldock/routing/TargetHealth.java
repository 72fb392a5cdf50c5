package io.beryldock.routing;

import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;

/**
 * What a node thinks of one target, for operators. Immutable.
 *
 * @param condition whether it takes calls
 * @param inFlight calls from this node
 * @param latencyNanos moving average of its answers' latency, 0 when unknown
 * @param level the admission level that its last answer reported
 * @param share its weight in the choice, 0 to 1, below 1 while it is cold
 * @param freeSlots slots that are free by its newest report and the calls sent since, 0 when unknown
 * @param reportAgeNanos time since its newest report of load, -1 when there is none
 * @param slowness times the usual that a call of the same kind takes there, 1 when nothing is known
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

    /** Whether a target takes calls from this node. */
    public enum Condition {
        HEALTHY,
        /** Its ejection is over; one call at a time shows whether it is well. */
        PROBED,
        EJECTED,
        /** The connection to its node was lost. */
        UNREACHABLE
    }
}
