package io.beryldock.routing;

import io.beryldock.routing.TargetHealth.Condition;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Selects a target of one tier by the power of two choices: two random targets are sampled and the cheaper one is
 * taken.
 *
 * <p>Sampling in proportion to the ramp share protects cold targets from overload. Not thread safe; guarded by the lock
 * of {@link ServiceTargets}.
 */
final class TargetSelector {

    /** Random samples before the targets of a tier are scanned in order. */
    private static final int MAX_SAMPLES = 12;

    private final RandomGenerator random;
    private final PlacementCost cost;
    private final ServiceBaseline baseline;

    TargetSelector(RandomGenerator random, PlacementCost cost, ServiceBaseline baseline) {
        this.random = random;
        this.cost = cost;
        this.baseline = baseline;
    }

    /** Selects a target of the tier; null when none is eligible. */
    TargetStats select(List<TargetStats> tier, ChoiceConstraints constraints, long now) {
        if (tier.isEmpty()) {
            return null;
        }
        TargetStats probe = constraints.mayProbe() ? dueProbe(tier, constraints, now) : null;
        if (probe != null) {
            return probe;
        }
        TargetStats first = firstChoice(tier, constraints, now);
        if (first == null) {
            return null;
        }
        return cheaper(first, secondChoice(tier, first, constraints, now), now);
    }

    /** Selects the one with more free slots of two random targets known to have any; null when there is none. */
    TargetStats selectFree(List<TargetStats> tier, ChoiceConstraints constraints, long now) {
        List<TargetStats> free = tier.stream()
                .filter(target -> isEligible(target, constraints, now) && target.reported.free(now) > 0)
                .toList();
        if (free.isEmpty()) {
            return null;
        }
        TargetStats first = free.get(random.nextInt(free.size()));
        TargetStats second = free.get(random.nextInt(free.size()));
        return first.reported.free(now) >= second.reported.free(now) ? first : second;
    }

    /**
     * The largest ramp share among the eligible targets of the tier.
     *
     * <p>It is 1 when no target is eligible, since ejected targets are probed only by calls that try their tier.
     */
    double maxRampShare(List<TargetStats> tier, ChoiceConstraints constraints, long now) {
        double largest = 0;
        for (TargetStats target : tier) {
            largest = isEligible(target, constraints, now) ? Math.max(largest, target.rampShare(now)) : largest;
        }
        return largest == 0 ? 1 : largest;
    }

    private TargetStats cheaper(TargetStats first, TargetStats second, long now) {
        if (second == null) {
            return first;
        }
        return cost.of(first, baseline, now) <= cost.of(second, baseline, now) ? first : second;
    }

    /**
     * A random target if it is due for a probe, otherwise null; in a tier of n targets about one call in n probes it.
     */
    private TargetStats dueProbe(List<TargetStats> tier, ChoiceConstraints constraints, long now) {
        TargetStats candidate = tier.get(random.nextInt(tier.size()));
        boolean isDue = candidate.ejection.condition(now) == Condition.PROBED && candidate.inFlight() == 0;
        return isDue && isAvailable(candidate, constraints, now) ? candidate : null;
    }

    /** A random eligible target, chosen in proportion to the ramp shares. */
    private TargetStats firstChoice(List<TargetStats> tier, ChoiceConstraints constraints, long now) {
        for (int i = 0; i < MAX_SAMPLES; i++) {
            TargetStats candidate = tier.get(random.nextInt(tier.size()));
            if (isEligible(candidate, constraints, now) && random.nextDouble() < candidate.rampShare(now)) {
                return candidate;
            }
        }
        return nextEligible(tier, null, constraints, now);
    }

    /**
     * Another eligible target, or null when there is none or it is skipped because of its ramp share.
     *
     * <p>A skipped target is not replaced by a new sample: a cold target always has the lower cost, so repeated
     * sampling would send nearly every call to it.
     */
    private TargetStats secondChoice(
            List<TargetStats> tier, TargetStats first, ChoiceConstraints constraints, long now) {
        TargetStats candidate = null;
        for (int i = 0; i < MAX_SAMPLES && candidate == null; i++) {
            TargetStats sampled = tier.get(random.nextInt(tier.size()));
            candidate = sampled != first && isEligible(sampled, constraints, now) ? sampled : null;
        }
        if (candidate == null) {
            candidate = nextEligible(tier, first, constraints, now);
        }
        return candidate != null && random.nextDouble() < candidate.rampShare(now) ? candidate : null;
    }

    private TargetStats nextEligible(
            List<TargetStats> tier, TargetStats other, ChoiceConstraints constraints, long now) {
        int start = random.nextInt(tier.size());
        for (int i = 0; i < tier.size(); i++) {
            TargetStats candidate = tier.get((start + i) % tier.size());
            if (candidate != other && isEligible(candidate, constraints, now)) {
                return candidate;
            }
        }
        return null;
    }

    private static boolean isEligible(TargetStats target, ChoiceConstraints constraints, long now) {
        return !target.ejection.isEjected() && isAvailable(target, constraints, now);
    }

    private static boolean isAvailable(TargetStats target, ChoiceConstraints constraints, long now) {
        boolean leaving = target.isLeaving(now) || target.reported.isDraining(now);
        return !leaving && !constraints.excludes(target.record().node().id());
    }
}
