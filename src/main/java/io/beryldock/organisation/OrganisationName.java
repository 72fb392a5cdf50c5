package io.beryldock.organisation;

import java.util.Objects;

/** Name of an organisation, as operators configure it and as it is passed on to targets. Immutable. */
public record OrganisationName(String value) {

    public OrganisationName {
        Objects.requireNonNull(value, "value");
    }

    public static OrganisationName of(String value) {
        return new OrganisationName(value);
    }

    // Handwritten: the C1 compiler, which nodes use, does not inline the generated equals of records (invokedynamic).
    @Override
    public boolean equals(Object other) {
        return other instanceof OrganisationName that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
