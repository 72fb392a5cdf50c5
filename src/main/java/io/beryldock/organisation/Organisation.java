package io.beryldock.organisation;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * Organisation that sends requests, as operators configure it. Immutable. Contains no key, so that passing an
 * organisation on or logging it cannot reveal one.
 *
 * @param rank takes precedence over the rank of the route where operators set one; rank 0 is shed last
 */
public record Organisation(OrganisationName name, OptionalInt rank, Quota quota) {

    public Organisation {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(rank, "rank");
        Objects.requireNonNull(quota, "quota");
    }

    // Handwritten: the C1 compiler, which nodes use, does not inline the generated equals of records (invokedynamic).
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
