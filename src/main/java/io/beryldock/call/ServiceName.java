package io.beryldock.call;

import java.util.Objects;

/**
 * Name of a service that targets announce, for example {@code holdings}.
 *
 * <p>Immutable. The name has 1 to {@value #MAX_LENGTH} characters, which are letters, digits, dots, dashes or
 * underscores.
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    static final int MAX_LENGTH = 100;

    public ServiceName {
        Objects.requireNonNull(value, "value");
        Names.check("service name", value, MAX_LENGTH);
    }

    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    // Explicit, because the C1 compiler used by nodes does not inline a record's generated equals (invokedynamic).
    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceName that && value.equals(that.value);
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
