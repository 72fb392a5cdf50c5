package io.beryldock.admission;

/**
 * Observations of a target since its limit was last updated.
 *
 * <p>Immutable.
 *
 * @param announced whether the target announced its slots, which bound the limit
 * @param limit the limit in force
 * @param peakInFlight the highest number of requests in flight at once
 * @param completed requests that the target ran to completion
 * @param refused requests that the target refused with its not-executed marker
 * @param late completed requests that had been cancelled or had passed their deadline before their answer
 * @param meanNanos mean service time of the completed requests, 0 when there are none
 * @param minNanos shortest mean service time of a recent window, used as the service time of an idle target
 * @param longNanos mean service time over the recent past
 */
public record LimitWindow(
        boolean announced,
        double limit,
        int peakInFlight,
        int completed,
        int refused,
        int late,
        double meanNanos,
        double minNanos,
        double longNanos) {

    /** Whether the limit itself delayed requests, so that a higher one could have been used. */
    boolean limitReached() {
        return peakInFlight + 1 >= limit;
    }
}
