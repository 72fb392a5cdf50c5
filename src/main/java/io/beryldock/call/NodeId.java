package io.beryldock.call;

import java.util.Objects;

/**
 * Name of a node, unique in the whole deployment, from its settings; for example {@code gent-a-lists-1}.
 *
 * <p>Immutable. The text is never empty and holds at most {@value #MAX_LENGTH} characters of letters, digits, dot,
 * dash and underscore.
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

    // Written out: nodes' C1 compiler does not inline the generated equals of a record, an invokedynamic call.
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
