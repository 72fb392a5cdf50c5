package io.beryldock.credit;

import io.beryldock.organisation.OrganisationName;
import java.util.Objects;
import java.util.Optional;

/** For whom credits are asked: a rank, and the organisation where there are any. Immutable. */
public record Claimant(int rank, Optional<OrganisationName> organisation) {

    public Claimant {
        Objects.requireNonNull(organisation, "organisation");
    }

    // Written out: nodes' C1 compiler does not inline the generated equals of a record, an invokedynamic call.
    @Override
    public boolean equals(Object other) {
        return other instanceof Claimant that && rank == that.rank && organisation.equals(that.organisation);
    }

    @Override
    public int hashCode() {
        return 31 * rank + organisation.hashCode();
    }
}
