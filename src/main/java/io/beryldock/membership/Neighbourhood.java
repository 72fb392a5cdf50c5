package io.beryldock.membership;

import io.beryldock.call.NodeId;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The few nodes with which this node exchanges: those it probes, and those that probe it.
 *
 * <p>Over all nodes of a data centre these pairs form a random graph of low diameter, joined to the graphs of the other
 * data centres by links. Invariant: this node itself is never in it. Control thread only.
 */
final class Neighbourhood {

    private static final int PERIODS = 3;

    private final Duration inboundRetention;
    private final Map<NodeId, Long> inbound = new HashMap<>();
    private Set<NodeId> successors = Set.of();
    private Set<NodeId> links = Set.of();

    private Neighbourhood(Duration inboundRetention) {
        this.inboundRetention = inboundRetention;
    }

    static Neighbourhood create(Duration probePeriod) {
        return new Neighbourhood(probePeriod.multipliedBy(PERIODS));
    }

    void setSuccessors(Set<NodeId> next) {
        successors = new LinkedHashSet<>(next);
    }

    void setLinks(Set<NodeId> next) {
        links = new LinkedHashSet<>(next);
    }

    void heardPing(NodeId from, long now) {
        inbound.put(from, now);
    }

    /** The neighbours as of now, in an order that depends on nothing but the calls made. */
    Set<NodeId> all(long now) {
        inbound.values().removeIf(at -> now - at > inboundRetention.toNanos());
        Set<NodeId> all = new LinkedHashSet<>(successors);
        all.addAll(links);
        all.addAll(inbound.keySet());
        return all;
    }
}
