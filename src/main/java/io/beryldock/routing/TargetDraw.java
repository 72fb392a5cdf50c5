package io.beryldock.routing;

import io.beryldock.routing.TargetHealth.Condition;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Draws a target from those of one tier: two random choices, of which the cheaper one is taken.
 *
 * <p>The draw by share keeps cold targets from being swamped. Not thread safe; guarded by the lock of
 * {@link ServiceTargets}.
 */
final class TargetDraw {

    /** Draws by chance before all targets of a tier are looked at in turn. */
    private static final int MAX_DRAWS = 12;

    private final RandomGenerator random;
    private final PlacementCost cost;
    private final UsualTimes usual;

    TargetDraw(RandomGenerator random, PlacementCost cost, UsualTimes usual) {
        this.random = random;
        this.cost = cost;
        this.usual = usual;
    }

    /** A target of the tier, or null when none is eligible. */
    TargetStats draw(List<TargetStats> tier, Barred barred, long now) {
        if (tier.isEmpty()) {
            return null;
        }
        TargetStats probe = barred.mayProbe() ? dueProbe(tier, barred, now) : null;
        if (probe != null) {
            return probe;
        }
        TargetStats first = firstChoice(tier, barred, now);
        if (first == null) {
            return null;
        }
        return cheaper(first, secondChoice(tier, first, barred, now), now);
    }

    /** A target of the tier that is known to have free slots, or null: the one with more of them of two drawn ones. */
    TargetStats drawFree(List<TargetStats> tier, Barred barred, long now) {
        List<TargetStats> free = tier.stream()
                .filter(target -> isEligible(target, barred, now) && target.reported.free(now) > 0)
                .toList();
        if (free.isEmpty()) {
            return null;
        }
        TargetStats first = free.get(random.nextInt(free.size()));
        TargetStats second = free.get(random.nextInt(free.size()));
        return first.reported.free(now) >= second.reported.free(now) ? first : second;
    }

    /**
     * The largest share of its draws that an eligible target of the tier has.
     *
     * <p>It is 1 when there is none: only calls that try the tier give its targets their probes.
     */
    double warmth(List<TargetStats> tier, Barred barred, long now) {
        double largest = 0;
        for (TargetStats target : tier) {
            largest = isEligible(target, barred, now) ? Math.max(largest, target.share(now)) : largest;
        }
        return largest == 0 ? 1 : largest;
    }

    private TargetStats cheaper(TargetStats first, TargetStats second, long now) {
        if (second == null) {
            return first;
        }
        return cost.of(first, usual, now) <= cost.of(second, usual, now) ? first : second;
    }

    /** A target whose ejection is over gets one call in about as many as there are targets. */
    private TargetStats dueProbe(List<TargetStats> tier, Barred barred, long now) {
        TargetStats candidate = tier.get(random.nextInt(tier.size()));
        boolean due = candidate.ejection.condition(now) == Condition.PROBED && candidate.inFlight() == 0;
        return due && isOpen(candidate, barred, now) ? candidate : null;
    }

    /** An eligible target by chance, in proportion to the shares. */
    private TargetStats firstChoice(List<TargetStats> tier, Barred barred, long now) {
        for (int i = 0; i < MAX_DRAWS; i++) {
            TargetStats candidate = tier.get(random.nextInt(tier.size()));
            if (isEligible(candidate, barred, now) && random.nextDouble() < candidate.share(now)) {
                return candidate;
            }
        }
        return nextEligible(tier, null, barred, now);
    }

    /**
     * Another eligible target, or null when there is none or its share lets it pass this time.
     *
     * <p>Drawing again in its place would bring a cold target, which always has the lower cost, to every call.
     */
    private TargetStats secondChoice(List<TargetStats> tier, TargetStats first, Barred barred, long now) {
        TargetStats candidate = null;
        for (int i = 0; i < MAX_DRAWS && candidate == null; i++) {
            TargetStats drawn = tier.get(random.nextInt(tier.size()));
            candidate = drawn != first && isEligible(drawn, barred, now) ? drawn : null;
        }
        if (candidate == null) {
            candidate = nextEligible(tier, first, barred, now);
        }
        return candidate != null && random.nextDouble() < candidate.share(now) ? candidate : null;
    }

    private TargetStats nextEligible(List<TargetStats> tier, TargetStats other, Barred barred, long now) {
        int start = random.nextInt(tier.size());
        for (int i = 0; i < tier.size(); i++) {
            TargetStats candidate = tier.get((start + i) % tier.size());
            if (candidate != other && isEligible(candidate, barred, now)) {
                return candidate;
            }
        }
        return null;
    }

    private static boolean isEligible(TargetStats target, Barred barred, long now) {
        return !target.ejection.isOut() && isOpen(target, barred, now);
    }

    private static boolean isOpen(TargetStats target, Barred barred, long now) {
        boolean leaving = target.isLeaving(now) || target.reported.isDraining(now);
        return !leaving && !barred.contains(target.record().node().id());
    }
}
