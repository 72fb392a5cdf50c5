package io.beryldock.admission;

/**
 * What was seen of a target since its limit was last decided.
 *
 * <p>Immutable.
 *
 * @param announced whether the target announced its slots, which bound the limit
 * @param limit the limit in force
 * @param peakInFlight the most requests in flight at once
 * @param completed requests that the target ran to their end
 * @param refused requests that the target refused with its marker
 * @param late those of the completed whose caller had given up before
 * @param meanNanos mean service time of the completed ones, 0 when there are none
 * @param minNanos shortest smoothed service time of the recent past, which stands for an idle target
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

    /** Whether the limit itself kept work back, so that a higher one could have been used. */
    boolean limited() {
        return peakInFlight + 1 >= limit;
    }
}
