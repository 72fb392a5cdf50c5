package io.beryldock.call;

import java.util.HexFormat;
import java.util.random.RandomGenerator;

/**
 * Identifies one start of a node by a random 128-bit number, so that different starts cannot be confused.
 *
 * <p>Immutable. The text form is 32 hexadecimal digits.
 */
public record Incarnation(long high, long low) {

    private static final int HALF_DIGITS = 16;
    private static final int HEX = 16;
    private static final HexFormat DIGITS = HexFormat.of();

    public static Incarnation random(RandomGenerator random) {
        return new Incarnation(random.nextLong(), random.nextLong());
    }

    /** Parses the text form; throws {@link IllegalArgumentException} if it is not 32 hexadecimal digits. */
    public static Incarnation parse(String text) {
        if (text.length() != 2 * HALF_DIGITS) {
            throw new IllegalArgumentException("an incarnation has 32 hexadecimal digits: '" + text + "'");
        }
        long high = Long.parseUnsignedLong(text.substring(0, HALF_DIGITS), HEX);
        long low = Long.parseUnsignedLong(text.substring(HALF_DIGITS), HEX);
        return new Incarnation(high, low);
    }

    // Explicit, because the C1 compiler used by nodes does not inline a record's generated equals (invokedynamic).
    @Override
    public boolean equals(Object other) {
        return other instanceof Incarnation that && high == that.high && low == that.low;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(high ^ low);
    }

    @Override
    public String toString() {
        return DIGITS.toHexDigits(high) + DIGITS.toHexDigits(low);
    }
}
