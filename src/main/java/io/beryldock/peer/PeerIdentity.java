package io.beryldock.peer;

import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import java.util.Objects;

/** The identity of the node at one end of a connection, as given in its hello. Immutable. */
public record PeerIdentity(NodeId node, DataCentre dataCentre, Incarnation incarnation) {

    public PeerIdentity {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    public static PeerIdentity of(NodeId node, DataCentre dataCentre, Incarnation incarnation) {
        return new PeerIdentity(node, dataCentre, incarnation);
    }
}
