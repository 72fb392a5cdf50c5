package io.beryldock.call;

import java.util.Objects;

/**
 * Name of a service that targets announce, for example {@code holdings}.
 *
 * <p>Immutable. The text is never empty and holds at most {@value #MAX_LENGTH} characters of letters, digits, dot,
 * dash and underscore.
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

    // Written out: nodes' C1 compiler does not inline the generated equals of a record, an invokedynamic call.
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
