package io.beryldock.timeline;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.call.RequestId;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;

/**
 * An event recorded by one node.
 *
 * <p>Immutable. Node and time together identify an event within the whole deployment.
 *
 * @param id rises with each event that the node records from one start to the next
 * @param request the root request of the event; for an aggregated event, one of its requests, chosen at random
 * @param subject the service, node, route or class that the event concerns
 * @param detail a short sentence for the operator
 * @param count number of similar events that this event represents, at least 1
 */
public record Event(
        long id,
        HlcTime time,
        NodeId node,
        DataCentre dataCentre,
        EventKind kind,
        Optional<RequestId> request,
        String subject,
        String detail,
        long count) {

    /** Orders events by time, then by node: only events of different nodes can have the same time. */
    public static final Comparator<Event> CAUSAL_ORDER =
            Comparator.comparing(Event::time).thenComparing(Event::node).thenComparingLong(Event::id);

    public Event {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(subject, "subject");
        Objects.requireNonNull(detail, "detail");
        if (count < 1) {
            throw new IllegalArgumentException("event count must be at least 1: " + count);
        }
    }

    boolean isAbout(RequestId id) {
        return request.isPresent() && request.get().equals(id);
    }
}
