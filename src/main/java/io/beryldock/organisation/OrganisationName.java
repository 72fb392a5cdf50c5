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

    @Override
    public String toString() {
        return value;
    }
}
