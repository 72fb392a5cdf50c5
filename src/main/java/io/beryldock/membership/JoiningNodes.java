package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.time.Ticker;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the addresses of nodes that are fetching the view before they join and are therefore not yet in any view.
 * Confined to the control thread.
 */
final class JoiningNodes {

    private static final Duration RETENTION = Duration.ofSeconds(10);

    private record JoiningNode(InetSocketAddress address, long receivedAt) {}

    private final Ticker ticker;
    private final Map<NodeId, JoiningNode> nodes = new LinkedHashMap<>();

    JoiningNodes(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Stores the address of a joining node. Only an address sent by the node itself is used, not one reported by
     * another node.
     */
    void add(MemberRecord member, NodeId from) {
        nodes.values().removeIf(known -> !isFresh(known));
        if (member.id().equals(from)) {
            nodes.put(from, new JoiningNode(member.node().peerAddress(), ticker.nanos()));
        }
    }

    /** Removes a node that has joined. */
    void remove(NodeId id) {
        nodes.remove(id);
    }

    Optional<InetSocketAddress> addressOf(NodeId id) {
        return Optional.ofNullable(nodes.get(id)).filter(this::isFresh).map(JoiningNode::address);
    }

    private boolean isFresh(JoiningNode node) {
        return ticker.nanos() - node.receivedAt() <= RETENTION.toNanos();
    }
}
