package io.beryldock.call;

import java.util.Objects;

/**
 * Identifier of a request or attempt: the incarnation of the node that created it, and a counter. Never used twice.
 *
 * <p>Immutable. The text form is the incarnation, a dash and the counter in hexadecimal.
 */
public record RequestId(Incarnation incarnation, long counter) {

    private static final int HEX = 16;

    public RequestId {
        Objects.requireNonNull(incarnation, "incarnation");
    }

    /** Parses the text form; throws {@link IllegalArgumentException} if it is malformed. */
    public static RequestId parse(String text) {
        int dash = text.indexOf('-');
        if (dash < 0) {
            throw new IllegalArgumentException("a request id is INCARNATION-COUNTER: '" + text + "'");
        }
        Incarnation incarnation = Incarnation.parse(text.substring(0, dash));
        return new RequestId(incarnation, Long.parseUnsignedLong(text.substring(dash + 1), HEX));
    }

    // Explicit, because the C1 compiler used by nodes does not inline a record's generated equals (invokedynamic).
    @Override
    public boolean equals(Object other) {
        return other instanceof RequestId that && counter == that.counter && incarnation.equals(that.incarnation);
    }

    @Override
    public int hashCode() {
        return 31 * incarnation.hashCode() + Long.hashCode(counter);
    }

    @Override
    public String toString() {
        return incarnation + "-" + Long.toHexString(counter);
    }
}
