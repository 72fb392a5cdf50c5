package io.beryldock.measure;

import java.util.List;
import java.util.OptionalDouble;

/**
 * How long after the end of a cause goodput is back.
 *
 * <p>Stateless. Goodput over a window is the share of the requests asked in it that completed. It is back at the first
 * point after the cause from which a window of one second reaches 95% of the share before the cause.
 */
final class RecoveryMeter {

    private static final double BACK = 0.95;
    private static final double WINDOW_SECONDS = 1;
    private static final double STEP_SECONDS = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;

    private RecoveryMeter() {}

    /** Seconds from the cause's end; empty when goodput was not back before the run's end. */
    static OptionalDouble seconds(List<UserRequest> requests, long start, Scenario scenario) {
        double length = scenario.seconds();
        double before = share(requests, start, 0, scenario.cause().from() * length);
        double end = scenario.cause().until() * length;
        for (double point = end; point + WINDOW_SECONDS <= length; point += STEP_SECONDS) {
            if (share(requests, start, point, point + WINDOW_SECONDS) >= BACK * before) {
                return OptionalDouble.of(point - end);
            }
        }
        return OptionalDouble.empty();
    }

    /** Share of those asked between two points, in seconds from the start, that completed; 1 when nothing was asked. */
    static double share(List<UserRequest> requests, long start, double from, double until) {
        long asked = 0;
        long complete = 0;
        for (UserRequest request : requests) {
            double point = (request.asked() - start) / NANOS_PER_SECOND;
            if (point >= from && point < until) {
                asked++;
                complete += request.isComplete() ? 1 : 0;
            }
        }
        return asked == 0 ? 1 : (double) complete / asked;
    }
}
