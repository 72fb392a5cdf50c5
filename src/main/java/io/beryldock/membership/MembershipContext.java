package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.MembershipMessage;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** What the parts of one node's membership share. Control thread only. */
record MembershipContext(
        MembershipSettings settings,
        SelfRecord self,
        MembershipView view,
        Neighbourhood neighbours,
        MessageSender sender,
        Prober prober,
        Guests guests,
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

    /** Where the node is reached: one that is about to join at the address it gave, else as the view says. */
    Optional<InetSocketAddress> addressOf(NodeId id) {
        return guests.addressOf(id)
                .or(() -> view.find(id).map(member -> member.node().peerAddress()));
    }

    /** Sends to a node that is known; without effect for any other. */
    void send(NodeId to, MembershipMessage.Builder message) {
        addressOf(to).ifPresent(address -> sender.send(address, message));
    }
}
