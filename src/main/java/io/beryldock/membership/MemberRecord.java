package io.beryldock.membership;

import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import java.util.Comparator;
import java.util.Optional;

/**
 * What is known of one node and of the target in its VM. Immutable.
 *
 * <p>Records of one start are totally ordered by {@link #isNewerThan}, and starts by their generation; merging keeps
 * the newest, so views that saw the same records are equal, in whatever order these came.
 *
 * @param generation rises with each start of a node of that id, as far as the start knew of earlier ones; 0 while a
 *     node only looks for others
 * @param revision rises with each change that the node itself makes
 * @param target the announced target, if any
 * @param superseded low half of the incarnation that this start replaced, 0 for none
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

    /** A target as its node passes it on. Immutable. */
    record AnnouncedTarget(ServiceName service, int slots, TargetState state) {

        // Written out: nodes' C1 compiler does not inline the generated equals of a record, an invokedynamic call.
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

    /** The record of a start that has not joined yet. */
    static MemberRecord ofStart(NodeDescriptor node) {
        return new MemberRecord(node, JOINING, 1, MemberStatus.ALIVE, Optional.empty(), 0);
    }

    /** Whether the node only looks for others as yet: nobody takes its record into a view. */
    boolean isJoining() {
        return generation == JOINING;
    }

    NodeId id() {
        return node.id();
    }

    /**
     * Whether this record replaces the other one.
     *
     * <p>A later start wins; in one start, having left wins for ever, then the higher revision, then the status. Of
     * two starts of one generation, which did not know of each other, neither replaces the other: to choose by any
     * sign would now and then put the dead one in place of the running one. The later start, told of the earlier one,
     * takes a generation above it.
     */
    boolean isNewerThan(MemberRecord other) {
        if (generation != other.generation) {
            return generation > other.generation;
        }
        if (!isSameStart(other)) {
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

    boolean isSameStart(MemberRecord other) {
        return node.incarnation().equals(other.node.incarnation());
    }

    boolean hasLeft() {
        return status == MemberStatus.LEFT;
    }

    /** Whether the node is kept in the directory: neither failed nor left. */
    boolean isLive() {
        return status != MemberStatus.FAILED && status != MemberStatus.LEFT;
    }

    /** The low bits of the incarnation, as pings carry them. */
    int shortIncarnation() {
        return (int) node.incarnation().low();
    }

    Optional<TargetRecord> targetRecord() {
        return target.map(known -> new TargetRecord(node, known.service(), known.slots(), known.state(), revision));
    }

    MemberRecord withStatus(MemberStatus next) {
        return new MemberRecord(node, generation, revision, next, target, superseded);
    }

    /** The record with another target, one revision up. */
    MemberRecord withTarget(Optional<AnnouncedTarget> next) {
        return new MemberRecord(node, generation, revision + 1, status, next, superseded);
    }

    /** The record alive and above the revision. */
    MemberRecord aliveAbove(long seen) {
        return new MemberRecord(node, generation, seen + 1, MemberStatus.ALIVE, target, superseded);
    }

    /** The record of the first start of a node that anybody knows of. */
    MemberRecord joined() {
        return new MemberRecord(node, JOINING + 1, revision, status, target, 0);
    }

    /** The record above that of an earlier start. */
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
