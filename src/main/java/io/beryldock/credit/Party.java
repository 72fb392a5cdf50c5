package io.beryldock.credit;

import io.beryldock.call.NodeId;
import io.beryldock.organisation.OrganisationName;
import java.util.Optional;

/**
 * Recipient among which credits are divided: an organisation, wherever its requests arrive; without organisations an
 * entry node, or all entry nodes of another data centre under the identity of their home node. Immutable.
 */
public record Party(Optional<OrganisationName> organisation, Optional<NodeId> node) {

    static Party of(Claimant claimant, NodeId node) {
        return claimant.organisation().isPresent()
                ? new Party(claimant.organisation(), Optional.empty())
                : new Party(Optional.empty(), Optional.of(node));
    }

    // Handwritten: the C1 compiler, which nodes use, does not inline the generated equals of records (invokedynamic).
    @Override
    public boolean equals(Object other) {
        return other instanceof Party that && organisation.equals(that.organisation) && node.equals(that.node);
    }

    @Override
    public int hashCode() {
        return 31 * organisation.hashCode() + node.hashCode();
    }
}
