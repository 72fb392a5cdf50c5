package io.beryldock.credit;

import io.beryldock.call.NodeId;
import io.beryldock.organisation.OrganisationName;
import java.util.Optional;

/**
 * Who is served together when credits are divided: an organisation wherever its requests come, else an entry, or the
 * entries of another data centre under the name of their home. Immutable.
 */
public record Party(Optional<OrganisationName> organisation, Optional<NodeId> node) {

    static Party of(Claimant claimant, NodeId node) {
        return claimant.organisation().isPresent()
                ? new Party(claimant.organisation(), Optional.empty())
                : new Party(Optional.empty(), Optional.of(node));
    }

    // Written out: nodes' C1 compiler does not inline the generated equals of a record, an invokedynamic call.
    @Override
    public boolean equals(Object other) {
        return other instanceof Party that && organisation.equals(that.organisation) && node.equals(that.node);
    }

    @Override
    public int hashCode() {
        return 31 * organisation.hashCode() + node.hashCode();
    }
}
