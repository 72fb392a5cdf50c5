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
 * Disseminates changed records to the neighbours, each change once to each neighbour.
 *
 * <p>Changes are delayed briefly, so that several of them share a message and a change that the neighbour itself sends
 * in the meantime is not sent back to it. A record that is lost arrives through another neighbour or by {@link
 * AntiEntropy}. Invariant: the record sent is the one held at the time of sending. Confined to the control thread.
 */
final class RecordSpreader {

    static final Duration DELAY = Duration.ofMillis(100);

    private final MembershipView view;
    private final Neighbourhood neighbours;
    private final MessageSender sender;
    private final TimerService timers;
    private final Map<NodeId, Set<NodeId>> queues = new LinkedHashMap<>();
    private boolean scheduled;

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

    /** Queues the record for all neighbours except the one it was received from. */
    void spread(NodeId id, Optional<NodeId> from) {
        for (NodeId neighbour : neighbours.all(timers.ticker().nanos())) {
            if (!from.equals(Optional.of(neighbour)) && !neighbour.equals(id)) {
                queue(neighbour, id);
            }
        }
    }

    /** Queues the record for one node. */
    void queue(NodeId receiver, NodeId id) {
        queues.computeIfAbsent(receiver, key -> new LinkedHashSet<>()).add(id);
        schedule();
    }

    /** Removes the record from the queue of a node that already has the current version. */
    void markKnown(NodeId receiver, NodeId id) {
        Set<NodeId> queue = queues.get(receiver);
        if (queue != null) {
            queue.remove(id);
        }
    }

    /** Sends a batch of the queued records to each receiver. */
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

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            timers.after(DELAY, this::onTimer);
        }
    }

    private void onTimer() {
        scheduled = false;
        flush();
        if (!queues.isEmpty()) {
            schedule();
        }
    }
}
