package io.beryldock.timeline;

import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.time.format.DateTimeParseException;
import java.util.Locale;

/**
 * A reading of a hybrid logical clock: wall milliseconds and a counter that orders readings of one millisecond.
 *
 * <p>Immutable. An event that can have caused another has a lower time. The packed form holds 48 bits of milliseconds
 * and 16 bits of counter and sorts like the time itself. The text form is an ISO instant, a slash and the counter, for
 * example {@code 2026-02-09T08:00:00.125Z/3}.
 */
public record HlcTime(long millis, int counter) implements Comparable<HlcTime> {

    /** The earliest time. */
    public static final HlcTime ZERO = new HlcTime(0, 0);

    private static final int MILLI_DIGITS = 3;
    static final int COUNTER_BITS = 16;
    static final int MAX_COUNTER = (1 << COUNTER_BITS) - 1;
    private static final DateTimeFormatter TEXT =
            new DateTimeFormatterBuilder().appendInstant(MILLI_DIGITS).toFormatter(Locale.ROOT);
    private static final long MAX_MILLIS = (1L << (Long.SIZE - COUNTER_BITS)) - 1;

    public HlcTime {
        if (millis < 0 || millis > MAX_MILLIS || counter < 0 || counter > MAX_COUNTER) {
            throw new IllegalArgumentException("hybrid logical clock reading out of range: " + millis + "/" + counter);
        }
    }

    /** The first reading of the millisecond; {@link #ZERO} for a millisecond before 1970. */
    public static HlcTime ofMillis(long millis) {
        return new HlcTime(Math.max(0, millis), 0);
    }

    public static HlcTime unpack(long packed) {
        return new HlcTime(packed >>> COUNTER_BITS, (int) (packed & MAX_COUNTER));
    }

    public long pack() {
        return millis << COUNTER_BITS | counter;
    }

    /** Reads the text form; throws {@link IllegalArgumentException} when it is malformed. */
    public static HlcTime parse(String text) {
        int slash = text.indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("a time must have the form INSTANT/COUNTER: '" + text + "'");
        }
        try {
            long millis = Instant.parse(text.substring(0, slash)).toEpochMilli();
            return new HlcTime(millis, Integer.parseInt(text.substring(slash + 1)));
        } catch (DateTimeParseException e) {
            throw new IllegalArgumentException("a time must have the form INSTANT/COUNTER: '" + text + "'", e);
        }
    }

    @Override
    public int compareTo(HlcTime other) {
        return Long.compareUnsigned(pack(), other.pack());
    }

    @Override
    public String toString() {
        return TEXT.format(Instant.ofEpochMilli(millis)) + "/" + counter;
    }
}
