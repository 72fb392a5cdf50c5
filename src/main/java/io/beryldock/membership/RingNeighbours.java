package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.HeldRecord;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the nodes that a node probes: its successors on several rings, each of which orders all members differently.
 *
 * <p>Each member therefore has as many observers as there are rings, a node keeps few connections regardless of the
 * number of members, and a change of one member changes the neighbours of only a few nodes. Stateless and thread-safe.
 */
final class RingNeighbours {

    private RingNeighbours() {}

    /** Returns at most {@code rings} distinct successors of the node among the members. */
    static Set<NodeId> successors(NodeId self, Collection<HeldRecord> members, int rings) {
        Set<NodeId> chosen = new LinkedHashSet<>();
        long selfHash = MembershipHashing.ofId(self);
        for (int ring = 1; ring <= rings; ring++) {
            successor(self, selfHash, members, ring, chosen).ifPresent(chosen::add);
        }
        return chosen;
    }

    private static Optional<NodeId> successor(
            NodeId self, long selfHash, Collection<HeldRecord> members, int ring, Set<NodeId> chosen) {
        long own = MembershipHashing.weight(selfHash, ring);
        HeldRecord best = null;
        long bestDistance = -1;
        for (HeldRecord member : members) {
            if (member.id().equals(self) || chosen.contains(member.id())) {
                continue;
            }
            long distance = MembershipHashing.weight(member.idHash(), ring) - own;
            if (best == null || Long.compareUnsigned(distance, bestDistance) < 0) {
                best = member;
                bestDistance = distance;
            }
        }
        return Optional.ofNullable(best).map(HeldRecord::id);
    }
}
