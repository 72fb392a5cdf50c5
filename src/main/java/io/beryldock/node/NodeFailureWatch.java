package io.beryldock.node;

import com.google.common.collect.ImmutableMap;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.membership.Membership;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.quarantine.Quarantine;

/**
 * Notifies the quarantine of nodes that have left the membership view, so that it confirms the requests suspected of
 * having crashed them.
 *
 * <p>Used on the control thread only.
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
        membership.onChange(this::onDirectoryChange);
    }

    private void onDirectoryChange(Directory directory) {
        ImmutableMap<NodeId, NodeDescriptor> now = directory.nodes();
        known.values().stream().filter(node -> !node.equals(now.get(node.id()))).forEach(quarantine::onNodeFailed);
        known = now;
    }
}
