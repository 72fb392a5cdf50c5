package io.beryldock.peer;

import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.wire.Frame;
import io.beryldock.wire.Hello;
import java.util.Optional;

/** Creates the hello of this node and validates the hellos of peers. Immutable. */
final class HelloExchange {

    /** The newest and the oldest protocol version that this release supports. */
    static final int PROTOCOL = 1;

    private final PeerIdentity self;
    private final Frame frame;

    private HelloExchange(PeerIdentity self, Frame frame) {
        this.self = self;
        this.frame = frame;
    }

    static HelloExchange create(PeerIdentity self, int maxFrameBytes) {
        Hello hello = Hello.newBuilder()
                .setNode(self.node().value())
                .setDataCentre(self.dataCentre().value())
                .setIncarnationHigh(self.incarnation().high())
                .setIncarnationLow(self.incarnation().low())
                .setProtocol(PROTOCOL)
                .setOldestProtocol(PROTOCOL)
                .setMaxFrameBytes(maxFrameBytes)
                .build();
        return new HelloExchange(self, Frame.newBuilder().setHello(hello).build());
    }

    /** Returns the hello frame, which this node sends first on every connection. */
    Frame frame() {
        return frame;
    }

    /**
     * Returns why a connection with this peer can't be used, or empty if it can.
     *
     * @param expected the node that is expected at the address; empty if any node is accepted
     */
    Optional<String> rejectionReason(Hello hello, Optional<NodeId> expected) {
        if (hello.getOldestProtocol() > PROTOCOL || hello.getProtocol() < PROTOCOL) {
            return Optional.of("it speaks the peer protocol " + hello.getOldestProtocol() + " to " + hello.getProtocol()
                    + ", this node " + PROTOCOL + "; upgrade the older of the two");
        }
        try {
            PeerIdentity peer = identity(hello);
            return expected.filter(node -> !node.equals(peer.node()))
                    .map(node -> "node " + peer.node() + " answers there and not " + node);
        } catch (IllegalArgumentException e) {
            return Optional.of("its hello is malformed: " + e.getMessage());
        }
    }

    /** Whether the peer is another process that uses the id of this node. */
    boolean sameIdAsSelf(PeerIdentity peer) {
        return peer.node().equals(self.node()) && !peer.incarnation().equals(self.incarnation());
    }

    static PeerIdentity identity(Hello hello) {
        return PeerIdentity.of(
                NodeId.of(hello.getNode()),
                DataCentre.of(hello.getDataCentre()),
                new Incarnation(hello.getIncarnationHigh(), hello.getIncarnationLow()));
    }
}
