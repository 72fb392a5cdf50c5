package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import java.net.InetSocketAddress;

/** One incarnation of a node and its peer address. Immutable. */
public record NodeDescriptor(NodeId id, Incarnation incarnation, DataCentre dataCentre, InetSocketAddress peerAddress) {

    // Written out because the C1 compiler, which nodes run with, does not inline the generated equals of a record, an
    // invokedynamic call.
    @Override
    public boolean equals(Object other) {
        return other instanceof NodeDescriptor that
                && id.equals(that.id)
                && incarnation.equals(that.incarnation)
                && dataCentre.equals(that.dataCentre)
                && peerAddress.equals(that.peerAddress);
    }

    @Override
    public int hashCode() {
        return 31 * id.hashCode() + incarnation.hashCode();
    }
}
