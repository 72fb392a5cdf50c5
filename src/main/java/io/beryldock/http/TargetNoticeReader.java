package io.beryldock.http;

import com.google.common.base.Splitter;
import com.google.common.flogger.FluentLogger;
import io.beryldock.call.Headers;
import io.beryldock.call.TargetNotice;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Reads from the headers of a target's answer what the target says about itself.
 *
 * <p>Of several limits the lowest is used. A value that is no decimal number is ignored and logged. Thread safe.
 */
public final class TargetNoticeReader {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;
    private static final String LEAVING = "1";

    /** Digits with an optional fraction and exponent, bounded so that the value is always finite. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,20}(\\.[0-9]{1,20})?([eE][+-]?[0-9]{1,2})?");

    private static final Splitter VALUES = Splitter.on(',').trimResults();

    private final String limitHeader;
    private final String leavingHeader;

    private TargetNoticeReader(String limitHeader, String leavingHeader) {
        this.limitHeader = limitHeader;
        this.leavingHeader = leavingHeader;
    }

    /** Creates a reader of the headers with these names. */
    public static TargetNoticeReader create(String limitHeader, String leavingHeader) {
        return new TargetNoticeReader(limitHeader, leavingHeader);
    }

    /** Reads what the headers of one answer say. */
    public TargetNotice read(Headers headers) {
        if (headers.first(limitHeader).isEmpty() && headers.first(leavingHeader).isEmpty()) {
            return TargetNotice.none();
        }
        List<String> limits = values(headers, limitHeader).toList();
        boolean leaving = values(headers, leavingHeader).anyMatch(LEAVING::equals);
        return new TargetNotice(limits.isEmpty() ? OptionalDouble.of(TargetNotice.UNLIMITED) : lowest(limits), leaving);
    }

    private static Stream<String> values(Headers headers, String name) {
        return headers.all(name).stream().flatMap(VALUES::splitToStream);
    }

    private OptionalDouble lowest(List<String> limits) {
        limits.stream()
                .filter(limit -> !DECIMAL.matcher(limit).matches())
                .forEach(limit -> log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                        "ignored the value \"%s\" of the target's header %s; it must be a decimal number of requests"
                                + " per second",
                        limit, limitHeader));
        return limits.stream()
                .filter(limit -> DECIMAL.matcher(limit).matches())
                .mapToDouble(Double::parseDouble)
                .min();
    }
}
