package io.beryldock.membership;

import io.beryldock.call.NodeId;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The nodes with which this node exchanges records: its ring successors, its links, and the nodes that have recently
 * pinged it.
 *
 * <p>Within a data centre these pairs form a random graph of low diameter, which links connect to the graphs of the
 * other data centres. Invariant: this node itself is never included. Confined to the control thread.
 */
final class Neighbourhood {

    private static final int RETENTION_PERIODS = 3;

    private final Duration pingRetention;
    private final Map<NodeId, Long> recentPingers = new HashMap<>();
    private Set<NodeId> successors = Set.of();
    private Set<NodeId> links = Set.of();

    private Neighbourhood(Duration pingRetention) {
        this.pingRetention = pingRetention;
    }

    static Neighbourhood create(Duration probePeriod) {
        return new Neighbourhood(probePeriod.multipliedBy(RETENTION_PERIODS));
    }

    void setSuccessors(Set<NodeId> next) {
        successors = new LinkedHashSet<>(next);
    }

    void setLinks(Set<NodeId> next) {
        links = new LinkedHashSet<>(next);
    }

    void onPing(NodeId from, long now) {
        recentPingers.put(from, now);
    }

    /** Returns the current neighbours, in an order that depends only on the preceding calls. */
    Set<NodeId> all(long now) {
        recentPingers.values().removeIf(at -> now - at > pingRetention.toNanos());
        Set<NodeId> all = new LinkedHashSet<>(successors);
        all.addAll(links);
        all.addAll(recentPingers.keySet());
        return all;
    }
}
