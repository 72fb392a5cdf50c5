package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * What a node knows of all nodes at one moment, for operators. Immutable.
 *
 * @param massLoss half of the own data centre or more is missing, so the missing are kept as unreachable
 * @param superseded a later start of the node's id has taken its place
 */
public record MembershipSnapshot(
        NodeDescriptor self, ImmutableList<Member> members, boolean massLoss, boolean superseded) {

    /** One node as this node sees it. Immutable. */
    public record Member(NodeDescriptor node, Reachability reachability, Optional<TargetRecord> target) {}
}
