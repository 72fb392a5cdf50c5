package io.beryldock.routing;

import io.beryldock.call.NodeId;
import java.util.Set;

/**
 * Nodes that must not be chosen for a call, and whether it may show if a sick target is well again.
 *
 * <p>Immutable while the call's sets are.
 *
 * @param excluded nodes that the call was already sent to
 * @param drained nodes that an operator drains
 */
record Barred(Set<NodeId> excluded, Set<NodeId> drained, boolean mayProbe) {

    boolean contains(NodeId node) {
        return excluded.contains(node) || drained.contains(node);
    }

    boolean isRetry() {
        return !excluded.isEmpty();
    }
}
