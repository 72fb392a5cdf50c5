package io.beryldock.command;

import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceLevel;
import java.time.Duration;
import java.util.Locale;

/** The text of a cell in a table for people. Stateless, thread safe. */
final class CellText {

    private static final String NOTHING_KNOWN = "-";
    private static final long SECOND_MILLIS = Duration.ofSeconds(1).toMillis();
    private static final long MINUTE_MILLIS = Duration.ofMinutes(1).toMillis();
    private static final long HOUR_MILLIS = Duration.ofHours(1).toMillis();
    private static final int PERCENT = 100;

    private CellText() {}

    static String of(Cell cell, ColumnKind kind) {
        if (cell instanceof Cell.Empty) {
            return NOTHING_KNOWN;
        }
        if (cell instanceof Cell.Whole whole) {
            return switch (kind) {
                case MILLIS -> millis(whole.number());
                case LEVEL -> level(whole.number());
                case TEXT, NUMBER, TIME -> Long.toString(whole.number());
            };
        }
        if (cell instanceof Cell.Decimal decimal) {
            return String.format(Locale.ROOT, "%.2f", decimal.number());
        }
        return ((Cell.Text) cell).text();
    }

    /** For example {@code 340ms}, {@code 12.5s}, {@code 3m20s} or {@code 26h5m}. */
    private static String millis(long millis) {
        if (millis < SECOND_MILLIS) {
            return millis + "ms";
        }
        if (millis < MINUTE_MILLIS) {
            return String.format(Locale.ROOT, "%.1fs", millis / (double) SECOND_MILLIS);
        }
        if (millis < HOUR_MILLIS) {
            return millis / MINUTE_MILLIS + "m" + millis % MINUTE_MILLIS / SECOND_MILLIS + "s";
        }
        return millis / HOUR_MILLIS + "h" + millis % HOUR_MILLIS / MINUTE_MILLIS + "m";
    }

    /** Which priorities a level admits, for example {@code 0-4 and 50% of 5}. */
    private static String level(long level) {
        long whole = level / ServiceLevel.STEPS;
        long percent = level % ServiceLevel.STEPS * PERCENT / ServiceLevel.STEPS;
        if (level >= ServiceLevel.OPEN) {
            return "all";
        }
        if (level <= 0) {
            return "none";
        }
        String ranks = whole == 0 ? "" : whole == 1 ? "0" : "0-" + (whole - 1);
        String share = percent == 0 ? "" : percent + "% of " + Math.min(whole, PriorityClass.LOWEST_RANK);
        return ranks + (ranks.isEmpty() || share.isEmpty() ? "" : " and ") + share;
    }
}
