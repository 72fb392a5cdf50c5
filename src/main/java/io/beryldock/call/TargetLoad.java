package io.beryldock.call;

/**
 * Load of a target, as reported by its admission gate with each result.
 *
 * <p>Immutable. Versions increase within one incarnation of a node; a report must not replace one with a higher
 * version.
 *
 * @param version sequence number of the gate's reports
 * @param limit number of requests that the target may run concurrently
 * @param running number of requests that hold a slot, including abandoned ones
 * @param queued number of requests in the gate's queue
 * @param meanNanos mean duration of a request in the target's usual mix, in nanoseconds; 0 if not known
 * @param cold whether the target has just started and is still slow
 * @param draining whether the gate admits no further requests
 */
public record TargetLoad(
        long version, int limit, int running, int queued, long meanNanos, boolean cold, boolean draining) {

    public TargetLoad {
        if (limit < 0 || running < 0 || queued < 0 || meanNanos < 0) {
            throw new IllegalArgumentException("limit, running, queued and meanNanos must not be negative");
        }
    }

    /** Number of requests that could run now without queueing. */
    public int freeSlots() {
        return draining ? 0 : Math.max(0, limit - running - queued);
    }
}
