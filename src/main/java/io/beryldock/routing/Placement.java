package io.beryldock.routing;

/**
 * Strategies for comparing the cost of two targets.
 *
 * <p>They are made for many callers that choose among targets whose speeds and loads differ, and change faster than the
 * calls of a single caller reveal.
 */
public enum Placement {

    /** Compares the calls in flight from this node and the recent latency; ignores load reports. */
    OWN_CALLS,

    /**
     * Compares the expected completion time: slowness relative to other targets, multiplied by the cost of a slot.
     *
     * <p>The last free slots of a target are expensive, because other callers act on the same report.
     */
    COMPLETION,

    /** Prefers the target with the lowest load per slot, regardless of its speed. */
    FREE_SLOTS;

    PlacementCost cost() {
        return switch (this) {
            case OWN_CALLS -> (target, baseline, now) -> target.cost(now, baseline.latencyNanos());
            case COMPLETION -> Placement::completion;
            case FREE_SLOTS -> Placement::occupancy;
        };
    }

    private static double completion(TargetStats target, ServiceBaseline baseline, long now) {
        return target.slowness(baseline, now) * target.slotCost(baseline, now) * target.refusalFactor(now);
    }

    private static double occupancy(TargetStats target, ServiceBaseline baseline, long now) {
        return target.stallFactor(baseline, now) * target.requestsPerSlot(baseline, now) * target.refusalFactor(now);
    }

    /** Whether the strategy uses the load reports of targets. */
    boolean usesReports() {
        return this != OWN_CALLS;
    }
}
