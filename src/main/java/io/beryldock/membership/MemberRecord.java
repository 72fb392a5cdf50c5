package io.beryldock.membership;

import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import java.util.Comparator;
import java.util.Optional;

/**
 * The state of one node and of the target in its VM. Immutable.
 *
 * <p>Records of one incarnation are totally ordered by {@link #isNewerThan}, and incarnations by their generation. A
 * merge keeps the newest record, so views that received the same records are equal regardless of the order of arrival.
 *
 * @param generation increases with each start of a node with this id, as far as the new incarnation has learned of
 *     earlier ones; 0 until the node has joined
 * @param revision increases with each change made by the node itself
 * @param target the announced target, if any
 * @param superseded low half of the incarnation that this incarnation replaced, 0 for none
 */
record MemberRecord(
        NodeDescriptor node,
        int generation,
        long revision,
        MemberStatus status,
        Optional<AnnouncedTarget> target,
        long superseded) {

    private static final int JOINING = 0;

    private static final Comparator<Incarnation> INCARNATIONS = Comparator.comparing(
                    Incarnation::high, Long::compareUnsigned)
            .thenComparing(Incarnation::low, Long::compareUnsigned);

    /** A target as announced by its node. Immutable. */
    record AnnouncedTarget(ServiceName service, int slots, TargetState state) {

        // Written out because the C1 compiler, which nodes run with, does not inline the generated equals of a record,
        // an invokedynamic call.
        @Override
        public boolean equals(Object other) {
            return other instanceof AnnouncedTarget that
                    && service.equals(that.service)
                    && slots == that.slots
                    && state == that.state;
        }

        @Override
        public int hashCode() {
            return 31 * service.hashCode() + slots;
        }
    }

    /** Creates the record of an incarnation that has not joined yet. */
    static MemberRecord initial(NodeDescriptor node) {
        return new MemberRecord(node, JOINING, 1, MemberStatus.ALIVE, Optional.empty(), 0);
    }

    /** Whether the node has not joined yet; such a record is not added to any view. */
    boolean isJoining() {
        return generation == JOINING;
    }

    NodeId id() {
        return node.id();
    }

    /**
     * Whether this record replaces the other one.
     *
     * <p>A higher generation wins. Within one incarnation, the status {@code LEFT} wins permanently, then the higher
     * revision, then the higher status. Of two incarnations with the same generation, neither of which knew of the
     * other, neither replaces the other: any fixed criterion would sometimes replace the running incarnation by the
     * dead one. Once the later incarnation receives the record of the earlier one, it takes a higher generation.
     */
    boolean isNewerThan(MemberRecord other) {
        if (generation != other.generation) {
            return generation > other.generation;
        }
        if (!isSameIncarnation(other)) {
            return false;
        }
        if (hasLeft() != other.hasLeft()) {
            return hasLeft();
        }
        if (revision != other.revision) {
            return revision > other.revision;
        }
        return status.compareTo(other.status) > 0;
    }

    boolean hasHigherIncarnation(MemberRecord other) {
        return INCARNATIONS.compare(node.incarnation(), other.node.incarnation()) > 0;
    }

    boolean isSameIncarnation(MemberRecord other) {
        return node.incarnation().equals(other.node.incarnation());
    }

    boolean hasLeft() {
        return status == MemberStatus.LEFT;
    }

    /** Whether the node belongs in the directory, because it has neither failed nor left. */
    boolean isLive() {
        return status != MemberStatus.FAILED && status != MemberStatus.LEFT;
    }

    /** Returns the low 32 bits of the incarnation, as sent in pings. */
    int shortIncarnation() {
        return (int) node.incarnation().low();
    }

    Optional<TargetRecord> targetRecord() {
        return target.map(known -> new TargetRecord(node, known.service(), known.slots(), known.state(), revision));
    }

    MemberRecord withStatus(MemberStatus next) {
        return new MemberRecord(node, generation, revision, next, target, superseded);
    }

    /** Returns this record with another target and the next revision. */
    MemberRecord withTarget(Optional<AnnouncedTarget> next) {
        return new MemberRecord(node, generation, revision + 1, status, next, superseded);
    }

    /** Returns this record with the status {@code ALIVE} and a revision above the given one. */
    MemberRecord aliveAbove(long lowerBound) {
        return new MemberRecord(node, generation, lowerBound + 1, MemberStatus.ALIVE, target, superseded);
    }

    /** Returns the record of a joined node whose id has no known earlier incarnation. */
    MemberRecord joined() {
        return new MemberRecord(node, JOINING + 1, revision, status, target, 0);
    }

    /** Returns this record with a generation above that of an earlier incarnation, which it names as superseded. */
    MemberRecord superseding(MemberRecord earlier) {
        return new MemberRecord(
                node,
                earlier.generation + 1,
                revision + 1,
                status,
                target,
                earlier.node.incarnation().low());
    }
}
