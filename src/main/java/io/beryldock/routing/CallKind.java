package io.beryldock.routing;

import io.beryldock.call.Call;
import io.beryldock.call.ServiceName;

/**
 * Key under which the latencies of similar calls to a service are averaged.
 *
 * <p>Calls from the same service to the same first path segment are expected to take about the same time on equal
 * targets.
 *
 * <p>Immutable.
 *
 * @param caller the calling service
 * @param segment the first segment of the request path
 */
public record CallKind(ServiceName caller, String segment) {

    /** Stands for calls of unknown kind, and for all kinds beyond the limit of {@link ServiceBaseline}. */
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
