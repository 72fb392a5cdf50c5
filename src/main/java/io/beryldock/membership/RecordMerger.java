package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Merges records into the view, both those received from other nodes and those changed by this node.
 *
 * <p>Invariant: a record that changed the view is forwarded, and the sender of an older record receives the newer one.
 * Confined to the control thread.
 */
final class RecordMerger {

    /** Is called for each record that changed the view. */
    @FunctionalInterface
    interface ChangeListener {

        void onChange(Optional<MemberRecord> before, MemberRecord after);
    }

    private final SelfRecord self;
    private final MembershipView view;
    private final RecordSpreader spreader;
    private final Ticker ticker;
    private final EventSink events;
    private final MembershipContext context;
    private final BooleanSupplier forwardsRecords;
    private final ChangeListener listener;

    private RecordMerger(
            MembershipContext context,
            RecordSpreader spreader,
            BooleanSupplier forwardsRecords,
            ChangeListener listener) {
        this.context = context;
        this.self = context.self();
        this.view = context.view();
        this.spreader = spreader;
        this.ticker = context.timers().ticker();
        this.events = context.events();
        this.forwardsRecords = forwardsRecords;
        this.listener = listener;
    }

    /**
     * Creates the merger.
     *
     * @param forwardsRecords returns false while the node fetches the whole view for the first time, when all records
     *     it receives are already known to other nodes
     */
    static RecordMerger create(
            MembershipContext context,
            RecordSpreader spreader,
            BooleanSupplier forwardsRecords,
            ChangeListener listener) {
        return new RecordMerger(context, spreader, forwardsRecords, listener);
    }

    /** Merges a record received from another node. */
    void accept(MemberRecord record, NodeId from) {
        if (record.isJoining()) {
            context.joiningNodes().add(record, from);
            return;
        }
        if (record.id().equals(self.current().id())) {
            acceptOwn(record, from);
        } else {
            merge(record, Optional.of(from));
        }
    }

    /** Merges a record changed by this node: its own record, or a status it determined for another node. */
    void accept(MemberRecord record) {
        merge(record, Optional.empty());
    }

    private void acceptOwn(MemberRecord record, NodeId from) {
        if (self.onReceived(record)) {
            merge(self.current(), Optional.empty());
        } else if (self.isJoined() && !self.isSuperseded() && self.current().isNewerThan(record)) {
            spreader.queue(from, record.id());
        }
    }

    private void merge(MemberRecord record, Optional<NodeId> from) {
        Optional<MemberRecord> before = view.find(record.id());
        switch (view.merge(record, ticker.nanos())) {
            case NEWER -> {
                checkRaised(before, record);
                forward(record, from);
                listener.onChange(before, record);
            }
            case SAME -> from.ifPresent(sender -> spreader.markKnown(sender, record.id()));
            // A sender with an old record was paused, was disconnected or has lost a message. Sending it the newer
            // record immediately prevents it from using the old one until the next comparison of digests.
            case OLDER -> from.ifPresent(sender -> spreader.queue(sender, record.id()));
            // In a conflict, both incarnations must learn of each other. The later one receives the record held and
            // raises its generation. If the receiver is dead instead, the incarnation held is running and receives the
            // conflicting record through its neighbours.
            default -> context.sender().sendRecords(record.node().peerAddress(), List.of(before.orElseThrow()));
        }
    }

    /** Verifies the invariant of the view independently of the rule that was applied. */
    private void checkRaised(Optional<MemberRecord> before, MemberRecord record) {
        boolean raised = before.map(old -> record.isNewerThan(old) || (!old.isLive() && !record.isSameIncarnation(old)))
                .orElse(true);
        if (!raised) {
            events.record(
                    EventKind.INVARIANT_BROKEN, record.id().value(), "an older record of a node replaced a newer one");
        }
    }

    private void forward(MemberRecord record, Optional<NodeId> from) {
        from.ifPresent(sender -> spreader.markKnown(sender, record.id()));
        if (from.isPresent() && !forwardsRecords.getAsBoolean()) {
            return;
        }
        spreader.spread(record.id(), from);
    }
}
