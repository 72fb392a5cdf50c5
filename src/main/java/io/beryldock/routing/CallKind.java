package io.beryldock.routing;

import io.beryldock.call.Call;
import io.beryldock.call.ServiceName;

/**
 * Calls that may be expected to take about the same time at equal targets of one service.
 *
 * <p>Immutable.
 *
 * @param caller the service that calls
 * @param segment first segment of the path
 */
public record CallKind(ServiceName caller, String segment) {

    /** All calls that nothing is known of. */
    static final CallKind ANY = new CallKind(Call.OUTSIDE, "");

    public static CallKind of(Call call) {
        return new CallKind(call.caller(), firstSegment(call.path()));
    }

    private static String firstSegment(String path) {
        int start = path.startsWith("/") ? 1 : 0;
        int end = start;
        while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
            end++;
        }
        return path.substring(start, end);
    }
}
