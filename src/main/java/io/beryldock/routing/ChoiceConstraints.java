package io.beryldock.routing;

import io.beryldock.call.NodeId;
import java.util.Set;

/**
 * Constraints on the choice of a target for one attempt of a call.
 *
 * <p>Immutable as long as the two sets are not modified.
 *
 * @param excluded nodes that the call was already sent to
 * @param drained nodes that an operator drains
 * @param mayProbe whether the attempt may be sent to a target whose ejection is over, to test its health
 */
record ChoiceConstraints(Set<NodeId> excluded, Set<NodeId> drained, boolean mayProbe) {

    boolean excludes(NodeId node) {
        return excluded.contains(node) || drained.contains(node);
    }

    boolean isRetry() {
        return !excluded.isEmpty();
    }
}
