package io.beryldock.node;

import com.google.common.collect.ImmutableMap;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.membership.Membership;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.quarantine.Quarantine;

/**
 * Tells the quarantine which nodes have gone from the view, so that it confirms what it suspects of their loss.
 *
 * <p>Called on the control thread only.
 */
final class NodeFailureWatch {

    private final Membership membership;
    private final Quarantine quarantine;
    private ImmutableMap<NodeId, NodeDescriptor> known = ImmutableMap.of();

    NodeFailureWatch(Membership membership, Quarantine quarantine) {
        this.membership = membership;
        this.quarantine = quarantine;
    }

    void start() {
        membership.onChange(this::compare);
    }

    private void compare(Directory directory) {
        ImmutableMap<NodeId, NodeDescriptor> now = directory.nodes();
        known.values().stream().filter(node -> !node.equals(now.get(node.id()))).forEach(quarantine::onNodeFailed);
        known = now;
    }
}
