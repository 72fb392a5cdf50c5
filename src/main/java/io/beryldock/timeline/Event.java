package io.beryldock.timeline;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.call.RequestId;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;

/**
 * Something that happened at one node.
 *
 * <p>Immutable. Node and time together name one event in the whole deployment.
 *
 * @param id rises with each event of one start of the node
 * @param request the root request it is about; of a counted event, one request picked at random from those counted
 * @param subject what it is about: a service, node, route or class
 * @param detail a short sentence for the operator
 * @param count how many like events this one stands for, at least 1
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

    /** By time; events that share a time, which only different nodes can, by node. */
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
            throw new IllegalArgumentException("an event stands for at least one: " + count);
        }
    }

    boolean isAbout(RequestId id) {
        return request.isPresent() && request.get().equals(id);
    }
}
