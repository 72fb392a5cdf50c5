package io.beryldock.organisation;

import java.util.Objects;

/** Name of an organisation, as operators write it and targets are told it. Immutable. */
public record OrganisationName(String value) {

    public OrganisationName {
        Objects.requireNonNull(value, "value");
    }

    public static OrganisationName of(String value) {
        return new OrganisationName(value);
    }

    // Written out: nodes' C1 compiler does not inline the generated equals of a record, an invokedynamic call.
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
