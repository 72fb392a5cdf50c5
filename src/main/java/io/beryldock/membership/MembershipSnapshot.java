package io.beryldock.membership;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/** What a node knows of all nodes at one moment, for operators. Immutable. */
public record MembershipSnapshot(NodeDescriptor self, ImmutableList<Member> members) {

    /** One node as this node sees it. Immutable. */
    public record Member(NodeDescriptor node, Reachability reachability, Optional<TargetRecord> target) {}
}
