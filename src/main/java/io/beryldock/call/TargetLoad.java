package io.beryldock.call;

import java.util.Objects;
import java.util.Optional;

/**
 * Load of a target, as reported by its admission gate with each result.
 *
 * <p>Immutable. Versions increase within one incarnation of a node; a report must not replace one with a higher
 * version.
 *
 * @param version sequence number of the gate's reports
 * @param limit number of requests that the target may run concurrently, at most what its rate limit sustains
 * @param running number of requests that hold a slot, including abandoned ones
 * @param queued number of requests in the gate's queue
 * @param meanNanos mean duration of a request in the target's usual mix, in nanoseconds; 0 if not known
 * @param cold whether the target has just started and is still slow
 * @param draining whether the gate admits no further requests
 * @param rateRoom number of requests that the target's rate limit admits now, {@link Integer#MAX_VALUE} without a limit
 * @param notice what answers of the target's current start have said of the target; empty if nothing
 */
public record TargetLoad(
        long version,
        int limit,
        int running,
        int queued,
        long meanNanos,
        boolean cold,
        boolean draining,
        int rateRoom,
        Optional<StartNotice> notice) {

    public TargetLoad {
        Objects.requireNonNull(notice, "notice");
        if (limit < 0 || running < 0 || queued < 0 || meanNanos < 0 || rateRoom < 0) {
            throw new IllegalArgumentException("limit, running, queued, meanNanos and rateRoom must not be negative");
        }
    }

    /** Creates the load of a target that names no rate limit and no leaving. */
    public TargetLoad(
            long version, int limit, int running, int queued, long meanNanos, boolean cold, boolean draining) {
        this(version, limit, running, queued, meanNanos, cold, draining, Integer.MAX_VALUE, Optional.empty());
    }

    /** Number of requests that could run now without queueing. */
    public int freeSlots() {
        return draining ? 0 : Math.max(0, Math.min(rateRoom, limit - running) - queued);
    }
}
