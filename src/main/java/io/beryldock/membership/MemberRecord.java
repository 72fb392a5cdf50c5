package io.beryldock.membership;

import io.beryldock.call.ServiceName;
import java.util.Optional;

/**
 * What is known of one node and of the target in its VM. Immutable.
 *
 * <p>Records of one id are ordered by {@link #isNewerThan}; merging keeps the newest, so that all views which saw the
 * same records are equal, in whatever order they came.
 *
 * @param generation rises with each start of a node of that id, as far as the start knew of earlier ones
 * @param revision rises with each change that the node itself makes
 * @param target the announced target, if any
 */
record MemberRecord(
        NodeDescriptor node, int generation, long revision, MemberStatus status, Optional<AnnouncedTarget> target) {

    /** A target as its node passes it on. Immutable. */
    record AnnouncedTarget(ServiceName service, int slots, TargetState state) {}

    boolean isNewerThan(MemberRecord other) {
        if (generation != other.generation) {
            return generation > other.generation;
        }
        int starts = compareIncarnations(other);
        if (starts != 0) {
            return starts > 0;
        }
        if (revision != other.revision) {
            return revision > other.revision;
        }
        return status.compareTo(other.status) > 0;
    }

    boolean isSameStart(MemberRecord other) {
        return node.incarnation().equals(other.node.incarnation());
    }

    private int compareIncarnations(MemberRecord other) {
        int high = Long.compareUnsigned(
                node.incarnation().high(), other.node.incarnation().high());
        if (high != 0) {
            return high;
        }
        return Long.compareUnsigned(
                node.incarnation().low(), other.node.incarnation().low());
    }

    Optional<TargetRecord> targetRecord() {
        return target.map(known -> new TargetRecord(node, known.service(), known.slots(), known.state(), revision));
    }

    MemberRecord withStatus(MemberStatus next) {
        return new MemberRecord(node, generation, revision, next, target);
    }

    MemberRecord withTarget(Optional<AnnouncedTarget> next) {
        return new MemberRecord(node, generation, revision + 1, status, next);
    }

    MemberRecord withRevision(long next) {
        return new MemberRecord(node, generation, next, MemberStatus.ALIVE, target);
    }

    MemberRecord withGeneration(int next) {
        return new MemberRecord(node, next, revision, status, target);
    }
}
