package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.Held;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses whom a node probes: its successors on several rings, on each of which all members stand in another order.
 *
 * <p>So each member has as many observers as there are rings, a node keeps few connections however many members there
 * are, and a change of one member moves a few neighbours only. Stateless, thread safe.
 */
final class RingNeighbours {

    private RingNeighbours() {}

    /** At most {@code rings} distinct successors of the node among the members. */
    static Set<NodeId> successors(NodeId self, Collection<Held> members, int rings) {
        Set<NodeId> chosen = new LinkedHashSet<>();
        long selfHash = MembershipHashing.ofId(self);
        for (int ring = 1; ring <= rings; ring++) {
            successor(self, selfHash, members, ring, chosen).ifPresent(chosen::add);
        }
        return chosen;
    }

    private static Optional<NodeId> successor(
            NodeId self, long selfHash, Collection<Held> members, int ring, Set<NodeId> chosen) {
        long own = MembershipHashing.weight(selfHash, ring);
        Held best = null;
        long bestDistance = -1;
        for (Held member : members) {
            if (member.id().equals(self) || chosen.contains(member.id())) {
                continue;
            }
            long distance = MembershipHashing.weight(member.idHash(), ring) - own;
            if (best == null || Long.compareUnsigned(distance, bestDistance) < 0) {
                best = member;
                bestDistance = distance;
            }
        }
        return Optional.ofNullable(best).map(Held::id);
    }
}
