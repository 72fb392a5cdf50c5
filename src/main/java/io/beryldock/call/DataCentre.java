package io.beryldock.call;

import java.util.Objects;

/**
 * Name of a data centre, for example {@code gent-a}.
 *
 * <p>Immutable. The name has 1 to {@value #MAX_LENGTH} characters, which are letters, digits, dots, dashes or
 * underscores.
 */
public record DataCentre(String value) implements Comparable<DataCentre> {

    static final int MAX_LENGTH = 100;

    public DataCentre {
        Objects.requireNonNull(value, "value");
        Names.check("data centre", value, MAX_LENGTH);
    }

    public static DataCentre of(String value) {
        return new DataCentre(value);
    }

    @Override
    public int compareTo(DataCentre other) {
        return value.compareTo(other.value);
    }

    // Explicit, because the C1 compiler used by nodes does not inline a record's generated equals (invokedynamic).
    @Override
    public boolean equals(Object other) {
        return other instanceof DataCentre that && value.equals(that.value);
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
