package io.beryldock.membership;

import com.google.common.flogger.FluentLogger;
import io.beryldock.membership.MemberRecord.AnnouncedTarget;
import java.util.Optional;

/**
 * The one record that this node itself may raise: its own.
 *
 * <p>Invariant: the record only rises. Two starts of one id are ordered without clocks: the later start fetches the
 * view of others before it joins, hears there of the earlier one, takes a generation above it and names it as
 * superseded. A start that finds itself superseded by name gives way for ever, so two of them never take turns.
 * Control thread only.
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
        return new SelfRecord(rules, MemberRecord.ofStart(node));
    }

    MemberRecord current() {
        return record;
    }

    boolean isJoined() {
        return !record.isJoining();
    }

    /** Takes a generation above all earlier starts that were heard of; to be spread from now on. */
    void join() {
        record = earlier.map(record::superseding).orElseGet(record::joined);
    }

    /** Whether a later start of this node's id has taken its place. */
    boolean isSuperseded() {
        return superseded;
    }

    /** Changes the announced target; false when it is announced so already. */
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

    /** Takes in what others hold of this node; true when the record was raised and has to be spread. */
    boolean react(MemberRecord found) {
        if (record.hasLeft() || superseded || !rules.denies()) {
            return false;
        }
        if (record.isJoining()) {
            earlier = earlier.filter(known -> !found.isNewerThan(known)).or(() -> Optional.of(found));
            return false;
        }
        if (found.isSameStart(record)) {
            return deny(found);
        }
        if (found.generation() < record.generation()) {
            return false;
        }
        if (isSupersededBy(found)) {
            giveWay(found);
            return false;
        }
        record = record.superseding(found);
        return true;
    }

    private boolean deny(MemberRecord found) {
        if (!rules.newer().test(found, record)) {
            return false;
        }
        record = record.aliveAbove(found.revision());
        return true;
    }

    private boolean isSupersededBy(MemberRecord found) {
        boolean named = found.superseded() == record.node().incarnation().low();
        // Two running nodes with one id may name each other at once: then one of them has to stay.
        return named && (found.generation() > record.generation() || found.hasHigherIncarnation(record));
    }

    private void giveWay(MemberRecord later) {
        // A frozen VM was replaced by one of the same id and then woke, or two nodes were given one id. Without giving
        // way both would raise their generation for ever and every view would flap between the two.
        superseded = true;
        log.atSevere().log(
                "node %s at %s has taken the id of this node: stop one of the two, or set another id in its settings",
                later.id(), later.node().peerAddress());
    }
}
