package io.beryldock.logging;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/**
 * One decision that ended or refused a request, as a line of the log: names and values.
 *
 * <p>Immutable. Invariant: a line that was written reads back as the same names and values, with blanks in values but
 * the last replaced.
 */
public record DecisionLine(ImmutableMap<String, String> fields) {

    /** Where the decision was made: {@code caller}, {@code entry} or {@code gate}. */
    public static final String AT = "at";

    /** The id under which the caller knows its request. */
    public static final String ASKED = "asked";

    /** The id of the run that the caller's id says that the request belongs to. */
    public static final String WITHIN = "within";

    public static final String ID = "id";
    public static final String ROOT = "root";
    public static final String PARENT = "parent";
    public static final String SERVICE = "service";
    public static final String OUTCOME = "outcome";
    public static final String REASON = "reason";

    /** A sentence, always the last. */
    public static final String DETAIL = "detail";

    private static final String PREFIX = "decision ";
    private static final char SEPARATOR = '=';
    private static final char BLANK = ' ';
    private static final char IN_PLACE_OF_BLANK = '_';

    /** Begins a line about a decision at that place. */
    public static ImmutableMap.Builder<String, String> at(String place) {
        return ImmutableMap.<String, String>builder().put(AT, place);
    }

    /** Reads the text of a line; empty for one about anything else. */
    public static Optional<DecisionLine> parse(String text) {
        if (!text.startsWith(PREFIX)) {
            return Optional.empty();
        }
        ImmutableMap.Builder<String, String> fields = ImmutableMap.builder();
        String rest = text.substring(PREFIX.length());
        int detail = rest.indexOf(DETAIL + SEPARATOR);
        if (detail >= 0) {
            fields.put(DETAIL, rest.substring(detail + DETAIL.length() + 1));
            rest = rest.substring(0, detail);
        }
        for (String field : Splitter.on(BLANK).omitEmptyStrings().split(rest)) {
            int end = field.indexOf(SEPARATOR);
            if (end > 0) {
                fields.put(field.substring(0, end), field.substring(end + 1));
            }
        }
        return Optional.of(new DecisionLine(fields.buildKeepingLast()));
    }

    /** The value, empty when the line has none of that name. */
    public String get(String name) {
        return fields.getOrDefault(name, "");
    }

    /** Names and values, as an operator reads them. */
    public String text() {
        StringBuilder text = new StringBuilder();
        fields.forEach((name, value) -> {
            if (!name.equals(DETAIL) && !value.isEmpty()) {
                String plain = CharMatcher.whitespace().replaceFrom(value, IN_PLACE_OF_BLANK);
                text.append(name).append(SEPARATOR).append(plain).append(BLANK);
            }
        });
        return text.append(DETAIL).append(SEPARATOR).append(get(DETAIL)).toString();
    }

    /** The line as it stands in the log. */
    @Override
    public String toString() {
        return PREFIX + text();
    }
}
