package io.beryldock.routing;

/**
 * Ways to weigh one target against another.
 *
 * <p>The load pattern they answer: many callers choose among targets whose speeds and loads differ and change faster
 * than one caller's own calls show.
 */
public enum Placement {

    /** Calls in flight from this node and latency of late. */
    OWN_CALLS,

    /**
     * Expected completion: how slow the target is against others, by how crowded it is.
     *
     * <p>The last free slots of a target count expensive, since others send there on the same news.
     */
    COMPLETION,

    /** Most free slots first, whatever the speed. */
    FREE_SLOTS;

    PlacementCost cost() {
        return switch (this) {
            case OWN_CALLS -> (target, usual, now) -> target.cost(now, usual.latencyNanos());
            case COMPLETION -> Placement::completion;
            case FREE_SLOTS -> Placement::occupancy;
        };
    }

    private static double completion(TargetStats target, UsualTimes usual, long now) {
        return target.slowness(usual, now) * target.crowding(usual, now) * target.refusalFactor(now);
    }

    private static double occupancy(TargetStats target, UsualTimes usual, long now) {
        return target.stall(usual, now) * target.busyShare(usual, now) * target.refusalFactor(now);
    }

    /** Whether targets' reports of load are used. */
    boolean usesReports() {
        return this != OWN_CALLS;
    }
}
