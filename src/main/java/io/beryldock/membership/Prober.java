package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.time.Ticker;
import io.beryldock.wire.MembershipAck;
import io.beryldock.wire.MembershipMessage;
import io.beryldock.wire.MembershipPing;
import io.beryldock.wire.MembershipRecord;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Pings nodes and answers pings.
 *
 * <p>A probe ends once: answered by the node that was meant, or unanswered after the timeout. Pings and
 * acknowledgements carry what the other side must know of the two: the record of a sender that the receiver may not
 * hold, and what the sender holds of a receiver that it does not take for alive, so that it can deny. Control thread
 * only.
 */
final class Prober {

    /** Hears how a probe ended. */
    interface ProbeListener {

        void answered(NodeId by);

        void unanswered();
    }

    private record Probe(Optional<NodeId> target, long sentAt, ProbeListener listener) {}

    private final SelfRecord self;
    private final MembershipView view;
    private final MessageSender sender;
    private final Ticker ticker;
    private final Duration timeout;
    private final Map<Integer, Probe> pending = new LinkedHashMap<>();
    private final Set<NodeId> knowsMe = new HashSet<>();
    private int lastNumber;
    private long lastHeard;

    private Prober(SelfRecord self, MembershipView view, MessageSender sender, Ticker ticker, Duration timeout) {
        this.self = self;
        this.view = view;
        this.sender = sender;
        this.ticker = ticker;
        this.timeout = timeout;
        this.lastHeard = ticker.nanos();
    }

    static Prober create(SelfRecord self, MembershipView view, MessageSender sender, Ticker ticker, Duration timeout) {
        return new Prober(self, view, sender, ticker, timeout);
    }

    /** Probes a node that the view holds. */
    void probe(MemberRecord target, ProbeListener listener) {
        MembershipMessage.Builder message = MembershipMessage.newBuilder().setPing(ping(target.shortIncarnation()));
        if (!knowsMe.contains(target.id())) {
            message.addRecords(MembershipCodec.encode(self.current()));
        }
        if (target.status() != MemberStatus.ALIVE) {
            message.addRecords(MembershipCodec.encode(target));
        }
        send(target.node().peerAddress(), message, Optional.of(target.id()), listener);
    }

    /** Probes whichever node is at the address. */
    void probe(InetSocketAddress address, ProbeListener listener) {
        MembershipMessage.Builder message =
                MembershipMessage.newBuilder().setPing(ping(0)).addRecords(MembershipCodec.encode(self.current()));
        send(address, message, Optional.empty(), listener);
    }

    /** Answers a ping, after its records were taken in. */
    void onPing(NodeId from, MembershipMessage message) {
        Optional<MemberRecord> held = view.find(from);
        Optional<InetSocketAddress> to = replyAddress(from, message, held);
        if (to.isEmpty()) {
            return;
        }
        MembershipMessage.Builder reply = MembershipMessage.newBuilder()
                .setAck(MembershipAck.newBuilder().setNumber(message.getPing().getNumber()));
        if (message.getPing().getTargetIncarnation() != self.current().shortIncarnation()) {
            reply.addRecords(MembershipCodec.encode(self.current()));
        }
        held.filter(known -> mustBeTold(known, message))
                .ifPresent(known -> reply.addRecords(MembershipCodec.encode(known)));
        sender.sendWithRoot(to.get(), reply);
    }

    /** Takes an acknowledgement, after its records were taken in. */
    void onAck(NodeId from, MembershipMessage message) {
        lastHeard = ticker.nanos();
        knowsMe.add(from);
        Probe probe = pending.get(message.getAck().getNumber());
        // Another node may have got the address of the one that was meant: its answer says nothing of that one.
        if (probe != null && probe.target().map(from::equals).orElse(true)) {
            pending.remove(message.getAck().getNumber());
            probe.listener().answered(from);
        }
    }

    /** Ends the probes that are over their timeout. */
    void tick(long now) {
        List<Probe> failed = new ArrayList<>();
        Iterator<Probe> probes = pending.values().iterator();
        while (probes.hasNext()) {
            Probe probe = probes.next();
            if (now - probe.sentAt() < timeout.toNanos()) {
                break;
            }
            probes.remove();
            failed.add(probe);
        }
        failed.forEach(this::fail);
    }

    /** Drops all open probes without a word: after a pause of this node their silence proves nothing. */
    void forgetOpenProbes() {
        pending.clear();
        lastHeard = ticker.nanos();
    }

    void forget(NodeId id) {
        knowsMe.remove(id);
    }

    /** When the last acknowledgement of any node came. */
    long lastHeard() {
        return lastHeard;
    }

    private void fail(Probe probe) {
        probe.target().ifPresent(knowsMe::remove);
        probe.listener().unanswered();
    }

    private MembershipPing.Builder ping(int targetIncarnation) {
        lastNumber++;
        return MembershipPing.newBuilder().setNumber(lastNumber).setTargetIncarnation(targetIncarnation);
    }

    private void send(
            InetSocketAddress to, MembershipMessage.Builder message, Optional<NodeId> target, ProbeListener listener) {
        pending.put(message.getPing().getNumber(), new Probe(target, ticker.nanos(), listener));
        sender.sendWithRoot(to, message);
    }

    private static boolean mustBeTold(MemberRecord known, MembershipMessage message) {
        return known.status() != MemberStatus.ALIVE || known.shortIncarnation() != message.getSenderIncarnation();
    }

    /** A sender whose record came along is reached there, even if another start of its id is held. */
    private static Optional<InetSocketAddress> replyAddress(
            NodeId from, MembershipMessage message, Optional<MemberRecord> held) {
        for (MembershipRecord wire : message.getRecordsList()) {
            if (wire.getId().equals(from.value()) && (int) wire.getIncarnationLow() == message.getSenderIncarnation()) {
                return Optional.of(MembershipCodec.address(wire.getAddress(), wire.getPort()));
            }
        }
        return held.map(known -> known.node().peerAddress());
    }
}
