package io.beryldock.call;

import java.util.Objects;

/**
 * Name of a data centre, for example {@code gent-a}.
 *
 * <p>Immutable. The text is never empty and holds at most {@value #MAX_LENGTH} characters of letters, digits, dot,
 * dash and underscore.
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

    // Written out: nodes' C1 compiler does not inline the generated equals of a record, an invokedynamic call.
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
