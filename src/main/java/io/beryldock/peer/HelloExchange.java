package io.beryldock.peer;

import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.wire.Frame;
import io.beryldock.wire.Hello;
import java.util.Optional;

/** Writes this node's hello and checks those of peers. Immutable. */
final class HelloExchange {

    /** The newest version of the protocol that this program speaks, and the oldest. */
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

    /** The first frame of every connection. */
    Frame frame() {
        return frame;
    }

    /** Why a connection with such a peer can't be used; empty when it can. */
    Optional<String> fault(Hello hello, Optional<NodeId> expected) {
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

    /** Another process goes by this node's id. */
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
