package io.beryldock.command;

import java.time.Duration;

/** The text form of durations in the language: a whole number and {@code ms}, {@code s}, {@code m} or {@code h}. */
final class Durations {

    private Durations() {}

    /** In the largest unit that holds it whole, for example {@code 5m}. */
    static String format(Duration duration) {
        long millis = duration.toMillis();
        for (Unit unit : Unit.values()) {
            if (millis % unit.millis == 0 && (millis > 0 || unit == Unit.MILLISECONDS)) {
                return millis / unit.millis + unit.suffix;
            }
        }
        return millis + Unit.MILLISECONDS.suffix;
    }

    /** Reads the text form; throws {@link ArithmeticException} when it is too long for a duration. */
    static Duration parse(String text) {
        int end = 0;
        while (end < text.length() && Character.isDigit(text.charAt(end))) {
            end++;
        }
        long amount = parseAmount(text.substring(0, end));
        String suffix = text.substring(end);
        for (Unit unit : Unit.values()) {
            if (unit.suffix.equalsIgnoreCase(suffix)) {
                return Duration.ofMillis(Math.multiplyExact(amount, unit.millis));
            }
        }
        throw new IllegalArgumentException("a duration is a number with ms, s, m or h: '" + text + "'");
    }

    private static long parseAmount(String digits) {
        try {
            return Long.parseLong(digits);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("a duration is a number with ms, s, m or h: '" + digits + "'", e);
        }
    }

    /** Units, the largest first. */
    private enum Unit {
        HOURS("h", Duration.ofHours(1)),
        MINUTES("m", Duration.ofMinutes(1)),
        SECONDS("s", Duration.ofSeconds(1)),
        MILLISECONDS("ms", Duration.ofMillis(1));

        private final String suffix;
        private final long millis;

        Unit(String suffix, Duration length) {
            this.suffix = suffix;
            this.millis = length.toMillis();
        }
    }
}
