package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.time.TimerService;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Passes news on to the neighbours, each piece once to each.
 *
 * <p>News waits a moment, so that several pieces share a message and a piece which the neighbour meanwhile sent itself
 * is not sent back. What is lost on the way arrives by another neighbour, or else by {@link AntiEntropy}. Invariant:
 * what is sent is the record held at the moment of sending. Control thread only.
 */
final class RecordSpreader {

    static final Duration DELAY = Duration.ofMillis(100);

    private final MembershipView view;
    private final Neighbourhood neighbours;
    private final MessageSender sender;
    private final TimerService timers;
    private final Map<NodeId, Set<NodeId>> queues = new LinkedHashMap<>();
    private boolean armed;

    private RecordSpreader(MembershipView view, Neighbourhood neighbours, MessageSender sender, TimerService timers) {
        this.view = view;
        this.neighbours = neighbours;
        this.sender = sender;
        this.timers = timers;
    }

    static RecordSpreader create(
            MembershipView view, Neighbourhood neighbours, MessageSender sender, TimerService timers) {
        return new RecordSpreader(view, neighbours, sender, timers);
    }

    /** Queues the news for all neighbours but the one it came from. */
    void spread(NodeId news, Optional<NodeId> from) {
        for (NodeId neighbour : neighbours.all(timers.ticker().nanos())) {
            if (!from.equals(Optional.of(neighbour)) && !neighbour.equals(news)) {
                queue(neighbour, news);
            }
        }
    }

    /** Queues the news for one node. */
    void queue(NodeId receiver, NodeId news) {
        queues.computeIfAbsent(receiver, id -> new LinkedHashSet<>()).add(news);
        arm();
    }

    /** Notes that the node has the record as it is held here. */
    void isKnownBy(NodeId receiver, NodeId news) {
        Set<NodeId> queue = queues.get(receiver);
        if (queue != null) {
            queue.remove(news);
        }
    }

    /** Sends what is queued now. */
    void flush() {
        Iterator<Map.Entry<NodeId, Set<NodeId>>> all = queues.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<NodeId, Set<NodeId>> entry = all.next();
            view.find(entry.getKey())
                    .ifPresentOrElse(
                            receiver -> sendSome(receiver, entry.getValue()),
                            () -> entry.getValue().clear());
            if (entry.getValue().isEmpty()) {
                all.remove();
            }
        }
    }

    private void sendSome(MemberRecord receiver, Set<NodeId> queue) {
        List<MemberRecord> batch = new ArrayList<>();
        Iterator<NodeId> ids = queue.iterator();
        while (ids.hasNext() && batch.size() < MessageSender.MAX_RECORDS) {
            view.find(ids.next()).ifPresent(batch::add);
            ids.remove();
        }
        InetSocketAddress to = receiver.node().peerAddress();
        sender.sendRecords(to, batch);
    }

    private void arm() {
        if (!armed) {
            armed = true;
            timers.after(DELAY, this::onDue);
        }
    }

    private void onDue() {
        armed = false;
        flush();
        if (!queues.isEmpty()) {
            arm();
        }
    }
}
