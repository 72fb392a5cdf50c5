package io.beryldock.membership;

import com.google.common.flogger.FluentLogger;
import io.beryldock.membership.MemberRecord.AnnouncedTarget;
import java.util.Optional;

/**
 * This node's own record, the only one whose revision and generation this node may raise.
 *
 * <p>Invariant: the record is only ever replaced by a newer one. Two incarnations of one id are ordered without clocks:
 * the later one fetches the view of other nodes before it joins, finds the record of the earlier one there, takes a
 * higher generation and names the earlier incarnation as superseded. An incarnation that is named as superseded stays
 * inactive permanently, so that two incarnations never alternate. Confined to the control thread.
 */
final class SelfRecord {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final MergeRules rules;
    private MemberRecord record;
    private Optional<MemberRecord> earlier = Optional.empty();
    private boolean superseded;

    private SelfRecord(MergeRules rules, MemberRecord record) {
        this.rules = rules;
        this.record = record;
    }

    static SelfRecord of(NodeDescriptor node, MergeRules rules) {
        return new SelfRecord(rules, MemberRecord.initial(node));
    }

    MemberRecord current() {
        return record;
    }

    boolean isJoined() {
        return !record.isJoining();
    }

    /**
     * Raises the generation above those of all known earlier incarnations; the record can be disseminated from then on.
     */
    void join() {
        record = earlier.map(record::superseding).orElseGet(record::joined);
    }

    /** Whether a later incarnation of this node's id has replaced it. */
    boolean isSuperseded() {
        return superseded;
    }

    /** Sets the announced target; returns false if it is unchanged. */
    boolean announce(Optional<AnnouncedTarget> target) {
        if (target.equals(record.target())) {
            return false;
        }
        record = record.withTarget(target);
        return true;
    }

    void leave() {
        record = record.withStatus(MemberStatus.LEFT);
    }

    /**
     * Handles a record of this node that another node holds; returns true if the own record was raised and has to be
     * disseminated.
     */
    boolean onReceived(MemberRecord received) {
        if (record.hasLeft() || superseded || !rules.refutesSuspicion()) {
            return false;
        }
        if (record.isJoining()) {
            earlier = earlier.filter(known -> !received.isNewerThan(known)).or(() -> Optional.of(received));
            return false;
        }
        if (received.isSameIncarnation(record)) {
            return refute(received);
        }
        if (received.generation() < record.generation()) {
            return false;
        }
        if (isSupersededBy(received)) {
            markSuperseded(received);
            return false;
        }
        record = record.superseding(received);
        return true;
    }

    private boolean refute(MemberRecord received) {
        if (!rules.newer().test(received, record)) {
            return false;
        }
        record = record.aliveAbove(received.revision());
        return true;
    }

    private boolean isSupersededBy(MemberRecord received) {
        boolean named = received.superseded() == record.node().incarnation().low();
        // Two running nodes with one id may name each other at the same time; then one of them has to remain active.
        return named && (received.generation() > record.generation() || received.hasHigherIncarnation(record));
    }

    private void markSuperseded(MemberRecord later) {
        // Either a frozen VM was replaced by one with the same id and has then resumed, or two nodes are configured
        // with the same id. If neither became inactive, both would raise their generations without end and every view
        // would alternate between them.
        superseded = true;
        log.atSevere().log(
                "node %s at %s uses the id of this node: stop one of the two or change its id in the settings",
                later.id(), later.node().peerAddress());
    }
}
