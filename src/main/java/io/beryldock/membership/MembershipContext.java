package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.MembershipMessage;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** The state and services shared by the components of one node's membership. Confined to the control thread. */
record MembershipContext(
        MembershipSettings settings,
        SelfRecord self,
        MembershipView view,
        Neighbourhood neighbours,
        MessageSender sender,
        Prober prober,
        JoiningNodes joiningNodes,
        TimerService timers,
        RandomGenerator random,
        EventSink events) {

    NodeId id() {
        return self.current().id();
    }

    DataCentre ownCentre() {
        return self.current().node().dataCentre();
    }

    boolean isOwnCentre(MemberRecord member) {
        return member.node().dataCentre().equals(ownCentre());
    }

    long now() {
        return timers.ticker().nanos();
    }

    /**
     * Returns the address of the node: for a node that has not joined yet, the address it sent, otherwise the address
     * in the view.
     */
    Optional<InetSocketAddress> addressOf(NodeId id) {
        return joiningNodes
                .addressOf(id)
                .or(() -> view.find(id).map(member -> member.node().peerAddress()));
    }

    /** Sends the message to the node, or does nothing if its address is unknown. */
    void send(NodeId to, MembershipMessage.Builder message) {
        addressOf(to).ifPresent(address -> sender.send(address, message));
    }
}
