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
 * Probes nodes with pings and answers the pings of other nodes.
 *
 * <p>Each probe ends once: answered by the intended node, or unanswered after the timeout. Pings and acknowledgements
 * carry the records of the two nodes that the receiver may lack: the sender's own record if the receiver may not hold
 * it, and the receiver's record if its status in the sender's view is not {@code ALIVE}, so that the receiver can
 * refute that status. Confined to the control thread.
 */
final class Prober {

    /** Receives the result of a probe. */
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
    private final Set<NodeId> holdersOfOwnRecord = new HashSet<>();
    private int lastNumber;
    private long lastAckAt;

    private Prober(SelfRecord self, MembershipView view, MessageSender sender, Ticker ticker, Duration timeout) {
        this.self = self;
        this.view = view;
        this.sender = sender;
        this.ticker = ticker;
        this.timeout = timeout;
        this.lastAckAt = ticker.nanos();
    }

    static Prober create(SelfRecord self, MembershipView view, MessageSender sender, Ticker ticker, Duration timeout) {
        return new Prober(self, view, sender, ticker, timeout);
    }

    /** Probes a node of the view. */
    void probe(MemberRecord target, ProbeListener listener) {
        MembershipMessage.Builder message = MembershipMessage.newBuilder().setPing(ping(target.shortIncarnation()));
        if (!holdersOfOwnRecord.contains(target.id())) {
            message.addRecords(MembershipCodec.encode(self.current()));
        }
        if (target.status() != MemberStatus.ALIVE) {
            message.addRecords(MembershipCodec.encode(target));
        }
        send(target.node().peerAddress(), message, Optional.of(target.id()), listener);
    }

    /** Probes the address, regardless of which node answers. */
    void probe(InetSocketAddress address, ProbeListener listener) {
        MembershipMessage.Builder message =
                MembershipMessage.newBuilder().setPing(ping(0)).addRecords(MembershipCodec.encode(self.current()));
        send(address, message, Optional.empty(), listener);
    }

    /** Answers a ping whose records have been merged. */
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
        held.filter(known -> needsRecord(known, message))
                .ifPresent(known -> reply.addRecords(MembershipCodec.encode(known)));
        sender.sendWithRoot(to.get(), reply);
    }

    /** Handles an acknowledgement whose records have been merged. */
    void onAck(NodeId from, MembershipMessage message) {
        lastAckAt = ticker.nanos();
        holdersOfOwnRecord.add(from);
        Probe probe = pending.get(message.getAck().getNumber());
        // The address may have been reassigned to another node, whose answer does not count for the probed node.
        if (probe != null && probe.target().map(from::equals).orElse(true)) {
            pending.remove(message.getAck().getNumber());
            probe.listener().answered(from);
        }
    }

    /** Ends the probes whose timeout has expired. */
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

    /**
     * Discards all open probes without calling their listeners: after a pause of this node, missing answers prove
     * nothing.
     */
    void discardOpenProbes() {
        pending.clear();
        lastAckAt = ticker.nanos();
    }

    void remove(NodeId id) {
        holdersOfOwnRecord.remove(id);
    }

    /** Returns the monotonic time of the last acknowledgement from any node. */
    long lastAckAt() {
        return lastAckAt;
    }

    private void fail(Probe probe) {
        probe.target().ifPresent(holdersOfOwnRecord::remove);
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

    private static boolean needsRecord(MemberRecord known, MembershipMessage message) {
        return known.status() != MemberStatus.ALIVE || known.shortIncarnation() != message.getSenderIncarnation();
    }

    /**
     * Returns the address for the reply: that of the sender's record in the message if present, even if the view holds
     * another incarnation of its id, otherwise that of the view.
     */
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
