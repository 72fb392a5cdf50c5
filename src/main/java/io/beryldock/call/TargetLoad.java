package io.beryldock.call;

/**
 * What the gate of a target tells of its load with each result.
 *
 * <p>Immutable. Versions of one incarnation of a node rise; a report with a lower version is older and must not replace
 * a newer one.
 *
 * @param version counts the reports of the gate
 * @param limit requests that the target may run at once
 * @param running requests that hold a slot, given up ones included
 * @param queued requests that wait at the gate
 * @param meanNanos what a request of the target's usual mix takes, 0 when nothing is known
 * @param cold whether the target has just started and is slow
 * @param draining whether the gate admits nothing more
 */
public record TargetLoad(
        long version, int limit, int running, int queued, long meanNanos, boolean cold, boolean draining) {

    public TargetLoad {
        if (limit < 0 || running < 0 || queued < 0 || meanNanos < 0) {
            throw new IllegalArgumentException("a load holds no negative number");
        }
    }

    /** Requests that could run now without waiting. */
    public int free() {
        return draining ? 0 : Math.max(0, limit - running - queued);
    }
}
