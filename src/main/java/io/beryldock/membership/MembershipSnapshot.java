package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * The state of all nodes as known to one node at one moment, for operators. Immutable.
 *
 * @param massLoss whether half or more of the nodes of the own data centre do not answer, so that they are kept and
 *     marked as unreachable
 * @param superseded whether a later incarnation with the same id has replaced this node
 */
public record MembershipSnapshot(
        NodeDescriptor self, ImmutableList<Member> members, boolean massLoss, boolean superseded) {

    /** The state of one node as known to this node. Immutable. */
    public record Member(NodeDescriptor node, Reachability reachability, Optional<TargetRecord> target) {}
}
