package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * The one way by which a record enters the view: from another node or from this node's own findings.
 *
 * <p>Invariant: what raised the view is passed on, and a sender of an older record is told the newer one. Control
 * thread only.
 */
final class RecordIntake {

    /** Hears of each record that raised the view. */
    @FunctionalInterface
    interface ChangeListener {

        void changed(Optional<MemberRecord> before, MemberRecord after);
    }

    private final SelfRecord self;
    private final MembershipView view;
    private final RecordSpreader spreader;
    private final Ticker ticker;
    private final EventSink events;
    private final MembershipContext context;
    private final BooleanSupplier passesOn;
    private final ChangeListener listener;

    private RecordIntake(
            MembershipContext context, RecordSpreader spreader, BooleanSupplier passesOn, ChangeListener listener) {
        this.context = context;
        this.self = context.self();
        this.view = context.view();
        this.spreader = spreader;
        this.ticker = context.timers().ticker();
        this.events = context.events();
        this.passesOn = passesOn;
        this.listener = listener;
    }

    /**
     * Makes the intake.
     *
     * @param passesOn false while the node fetches the whole view for the first time: all it hears is old to others
     */
    static RecordIntake create(
            MembershipContext context, RecordSpreader spreader, BooleanSupplier passesOn, ChangeListener listener) {
        return new RecordIntake(context, spreader, passesOn, listener);
    }

    /** Takes a record from another node. */
    void accept(MemberRecord found, NodeId from) {
        if (found.isJoining()) {
            context.guests().welcome(found, from);
            return;
        }
        if (found.id().equals(self.current().id())) {
            acceptOwn(found, from);
        } else {
            merge(found, Optional.of(from));
        }
    }

    /** Takes a record that this node itself changed: its own one, or its finding about another. */
    void accept(MemberRecord found) {
        merge(found, Optional.empty());
    }

    private void acceptOwn(MemberRecord found, NodeId from) {
        if (self.react(found)) {
            merge(self.current(), Optional.empty());
        } else if (self.isJoined() && !self.isSuperseded() && self.current().isNewerThan(found)) {
            spreader.queue(from, found.id());
        }
    }

    private void merge(MemberRecord found, Optional<NodeId> from) {
        Optional<MemberRecord> before = view.find(found.id());
        switch (view.merge(found, ticker.nanos())) {
            case NEWER -> {
                checkRaised(before, found);
                passOn(found, from);
                listener.changed(before, found);
            }
            case SAME -> from.ifPresent(sender -> spreader.isKnownBy(sender, found.id()));
            // A sender with an old record was paused, cut off or has lost a message. Told the newer one at once it
            // does not act on the old one until the next comparison of digests.
            case OLDER -> from.ifPresent(sender -> spreader.queue(sender, found.id()));
            // A conflict: told of the start held here the later one raises its generation. If the one told is dead, the
            // start held
            // here runs and hears of the conflict by its neighbours likewise.
            default -> context.sender().sendRecords(found.node().peerAddress(), List.of(before.orElseThrow()));
        }
    }

    /** Asserts the invariant of the view, independently of the rule that decided. */
    private void checkRaised(Optional<MemberRecord> before, MemberRecord found) {
        boolean raised = before.map(old -> found.isNewerThan(old) || (!old.isLive() && !found.isSameStart(old)))
                .orElse(true);
        if (!raised) {
            events.record(
                    EventKind.INVARIANT_BROKEN, found.id().value(), "an older record of a node replaced a newer one");
        }
    }

    private void passOn(MemberRecord found, Optional<NodeId> from) {
        from.ifPresent(sender -> spreader.isKnownBy(sender, found.id()));
        if (from.isPresent() && !passesOn.getAsBoolean()) {
            return;
        }
        spreader.spread(found.id(), from);
    }
}
