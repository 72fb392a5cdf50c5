package io.beryldock.organisation;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Who asks, as operators know them. Immutable. Holds no key: what is passed on or logged can't give one away.
 *
 * @param rank goes before the rank of the route, where the operators set one; 0 is shed last
 */
public record Organisation(OrganisationName name, OptionalInt rank, Quota quota) {

    public Organisation {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(rank, "rank");
        Objects.requireNonNull(quota, "quota");
    }

    // Written out: nodes' C1 compiler does not inline the generated equals of a record, an invokedynamic call.
    @Override
    public boolean equals(Object other) {
        return other instanceof Organisation that
                && name.equals(that.name)
                && rank.equals(that.rank)
                && quota.equals(that.quota);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }
}
