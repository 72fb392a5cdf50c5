package io.beryldock.credit;

import io.beryldock.organisation.OrganisationName;
import java.util.Objects;
import java.util.Optional;

/** Beneficiary of a claim: a priority rank and, where organisations are configured, an organisation. Immutable. */
public record Claimant(int rank, Optional<OrganisationName> organisation) {

    public Claimant {
        Objects.requireNonNull(organisation, "organisation");
    }

    // Handwritten: the C1 compiler, which nodes use, does not inline the generated equals of records (invokedynamic).
    @Override
    public boolean equals(Object other) {
        return other instanceof Claimant that && rank == that.rank && organisation.equals(that.organisation);
    }

    @Override
    public int hashCode() {
        return 31 * rank + organisation.hashCode();
    }
}
