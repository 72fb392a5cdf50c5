package io.beryldock.idempotency;

import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.wire.WireTicketHome;

/**
 * One incarnation of a node that mints tickets. Only the home, or its single successor after a handover, decides on its
 * tickets. Immutable.
 */
public record TicketHome(DataCentre dataCentre, NodeId node, Incarnation incarnation) {

    public static TicketHome of(NodeDescriptor descriptor) {
        return new TicketHome(descriptor.dataCentre(), descriptor.id(), descriptor.incarnation());
    }

    static TicketHome fromWire(WireTicketHome wire) {
        Incarnation incarnation = new Incarnation(wire.getIncarnationHigh(), wire.getIncarnationLow());
        return new TicketHome(DataCentre.of(wire.getDataCentre()), NodeId.of(wire.getNode()), incarnation);
    }

    WireTicketHome toWire() {
        return WireTicketHome.newBuilder()
                .setDataCentre(dataCentre.value())
                .setNode(node.value())
                .setIncarnationHigh(incarnation.high())
                .setIncarnationLow(incarnation.low())
                .build();
    }
}
