package io.beryldock.membership;

import io.beryldock.call.DataCentre;
import io.beryldock.call.NodeId;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.MembershipMessage;
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

    /** Sends to a node that the view holds; without effect for any other. */
    void send(NodeId to, MembershipMessage.Builder message) {
        Optional<MemberRecord> receiver = view.find(to);
        receiver.ifPresent(member -> sender.send(member.node().peerAddress(), message));
    }
}
