package io.beryldock.call;

import java.util.Objects;

/**
 * Name of a node from its settings, unique within the deployment; for example {@code gent-a-lists-1}.
 *
 * <p>Immutable. The name has 1 to {@value #MAX_LENGTH} characters, which are letters, digits, dots, dashes or
 * underscores.
 */
public record NodeId(String value) implements Comparable<NodeId> {

    static final int MAX_LENGTH = 100;

    public NodeId {
        Objects.requireNonNull(value, "value");
        Names.check("node id", value, MAX_LENGTH);
    }

    public static NodeId of(String value) {
        return new NodeId(value);
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    // Explicit, because the C1 compiler used by nodes does not inline a record's generated equals (invokedynamic).
    @Override
    public boolean equals(Object other) {
        return other instanceof NodeId that && value.equals(that.value);
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
