package io.beryldock.routing;

import io.beryldock.call.NodeId;
import io.beryldock.call.StartNotice;
import io.beryldock.call.TargetLoad;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What this node was told by answers of targets at other nodes, kept beyond a restart of those nodes.
 *
 * <p>A node that restarts next to a running target has forgotten what the target named. Calls to it carry the notice,
 * so that it acts on the notice before it sends the first of them. Bounded; thread safe.
 */
final class PeerNotices {

    /** Targets in need or leaving that one node calls at the same time are far fewer. */
    private static final int MAX_NODES = 1_000;

    private final Map<NodeId, StartNotice> byNode = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<NodeId, StartNotice> eldest) {
            return size() > MAX_NODES;
        }
    };
    private volatile boolean empty = true;

    /** Records the load that a node reported; one without a notice shows that the target names nothing any more. */
    void onLoad(NodeId node, TargetLoad load) {
        if (empty && load.notice().isEmpty()) {
            return;
        }
        synchronized (this) {
            byNode.remove(node);
            load.notice().ifPresent(notice -> byNode.put(node, notice));
            empty = byNode.isEmpty();
        }
    }

    Optional<StartNotice> of(NodeId node) {
        if (empty) {
            return Optional.empty();
        }
        synchronized (this) {
            return Optional.ofNullable(byNode.get(node));
        }
    }
}
