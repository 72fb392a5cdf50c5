package io.beryldock.routing;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.CallResult;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceLevel;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import io.beryldock.routing.TargetHealth.Condition;
import io.beryldock.timeline.EventSink;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * What this node knows of the targets of one service, and the choice among them.
 *
 * <p>Thread safe: one lock, held for about a microsecond.
 */
final class ServiceTargets {

    /** Draws by chance before all targets of a tier are looked at in turn. */
    private static final int MAX_DRAWS = 12;

    /** Share of second attempts that leave the own data centre: what failed may be the whole of it. */
    private static final double RETRY_SPILL = 0.5;

    private static final double USUAL_SAMPLE_WEIGHT = 0.05;

    private final Distances distances;
    private final RandomGenerator random;
    private final ChooserSettings settings;
    private final OutlierDetector outliers;
    private final Map<Key, TargetStats> stats = new HashMap<>();
    private final List<List<TargetStats>> tiers = new ArrayList<>();
    private final SpillShare spill;
    private ImmutableList<TargetRecord> current = ImmutableList.of();
    private int distanceVersion = -1;
    private int ready;
    private double usualNanos;

    ServiceTargets(Distances distances, RandomGenerator random, EventSink events, ChooserSettings settings, long now) {
        this.distances = distances;
        this.random = random;
        this.settings = settings;
        this.outliers = new OutlierDetector(random, events, settings, now);
        this.spill = new SpillShare(now);
        for (int i = 0; i < Distances.TIERS; i++) {
            tiers.add(new ArrayList<>());
        }
    }

    private record Key(NodeId node, Incarnation incarnation) {
        static Key of(TargetRecord target) {
            return new Key(target.node().id(), target.node().incarnation());
        }

        // Records compare through method handles, which the compiler of a node's short life does not see through.
        @Override
        public boolean equals(Object other) {
            return other instanceof Key that && node.equals(that.node) && incarnation.equals(that.incarnation);
        }

        @Override
        public int hashCode() {
            return 31 * node.hashCode() + incarnation.hashCode();
        }
    }

    /** Nodes that must not be chosen for a call, and whether it may show if a sick target is well again. */
    record Barred(Set<NodeId> excluded, Set<NodeId> drained, boolean mayProbe) {
        boolean contains(NodeId node) {
            return excluded.contains(node) || drained.contains(node);
        }

        boolean isRetry() {
            return !excluded.isEmpty();
        }
    }

    synchronized Optional<TargetRecord> choose(ImmutableList<TargetRecord> targets, Barred barred, long now) {
        refresh(targets, now);
        TargetStats chosen = chooseByTier(barred, now);
        if (chosen == null) {
            chosen = anyReady(barred);
        }
        return Optional.ofNullable(chosen).map(TargetStats::record);
    }

    private TargetStats chooseByTier(Barred barred, long now) {
        double leaving = barred.isRetry() ? Math.max(RETRY_SPILL, spill.value(now)) : spill.value(now);
        boolean ownFirst = random.nextDouble() >= leaving;
        int[] order = ownFirst
                ? new int[] {Distances.OWN, Distances.NEAR, Distances.FAR}
                : new int[] {Distances.NEAR, Distances.OWN, Distances.FAR};
        for (int tier : order) {
            TargetStats found = chooseIn(tiers.get(tier), barred, now);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    /** Two random choices: the draw by share keeps cold targets from being swamped, the cost picks the better one. */
    private TargetStats chooseIn(List<TargetStats> tier, Barred barred, long now) {
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
        TargetStats second = secondChoice(tier, first, barred, now);
        if (second == null) {
            return first;
        }
        return first.cost(now, usualNanos) <= second.cost(now, usualNanos) ? first : second;
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
        return !target.isLeaving(now) && !barred.contains(target.record().node().id());
    }

    /** The last resort: a wrong ejection must not shut a service out, and a refused connection costs little. */
    private TargetStats anyReady(Barred barred) {
        List<TargetStats> open = new ArrayList<>();
        for (List<TargetStats> tier : tiers) {
            for (TargetStats target : tier) {
                if (!barred.contains(target.record().node().id())) {
                    open.add(target);
                }
            }
        }
        return open.isEmpty() ? null : open.get(random.nextInt(open.size()));
    }

    /** A directory never changes its lists, so the same list means the same targets. */
    @SuppressWarnings("ReferenceEquality")
    private void refresh(ImmutableList<TargetRecord> targets, long now) {
        boolean unchanged = targets == current && distanceVersion == distances.version();
        if (unchanged) {
            return;
        }
        boolean first = stats.isEmpty();
        distanceVersion = distances.version();
        current = targets;
        tiers.forEach(List::clear);
        ready = 0;
        Map<Key, TargetStats> old = new HashMap<>(stats);
        stats.values().removeIf(target -> target.inFlight() == 0);
        for (TargetRecord target : targets) {
            if (target.state() == TargetState.READY) {
                addReady(target, old.get(Key.of(target)), first, now);
            }
        }
    }

    private void addReady(TargetRecord target, TargetStats known, boolean first, long now) {
        TargetStats kept = known == null ? new TargetStats(target, now) : known;
        if (known == null && !first) {
            kept.startCold(now, settings.ramp().toNanos());
        }
        if (target.revision() != kept.record().revision()) {
            kept.ejection.probeNow(now);
        }
        kept.update(target);
        stats.put(Key.of(target), kept);
        tiers.get(distances.tier(target.node().dataCentre())).add(kept);
        ready++;
    }

    synchronized void onStart(TargetRecord target, long now) {
        TargetStats known = stats.get(Key.of(target));
        if (known != null) {
            known.onStart(now);
        }
    }

    synchronized void onResult(TargetRecord target, CallResult result, long latencyNanos, long now) {
        TargetStats known = stats.get(Key.of(target));
        if (known == null) {
            return;
        }
        known.onEnd(now);
        CallSign sign = CallSign.of(result, latencyNanos, usualNanos);
        notePressure(known, result, sign, now);
        switch (sign) {
            case WELL -> onWell(known, latencyNanos, now);
            case FULL -> outliers.onAlive(known, now);
            case LEAVING -> known.onLeaving(now);
            case FAILED -> onFailed(known, latencyNanos, now);
            case UNREACHABLE -> outliers.onUnreachable(known, "no connection could be made", now);
            default -> {}
        }
    }

    private void notePressure(TargetStats target, CallResult result, CallSign sign, long now) {
        if (sign != CallSign.WELL && sign != CallSign.FULL) {
            return;
        }
        for (ServiceLevel level : result.levels()) {
            if (level.service().equals(target.record().service())) {
                target.onLevel(level.level());
            }
        }
        double shut = 1 - (double) target.level() / ServiceLevel.OPEN;
        double pressure = sign == CallSign.FULL ? 1 : shut;
        target.onPressure(pressure, now);
        boolean own = distances.tier(target.record().node().dataCentre()) == Distances.OWN;
        spill.onResult(own, pressure, now);
    }

    private void onWell(TargetStats target, long latencyNanos, long now) {
        outliers.onWell(target, now);
        target.onLatency(latencyNanos, now);
        usualNanos += usualNanos == 0 ? latencyNanos : USUAL_SAMPLE_WEIGHT * (latencyNanos - usualNanos);
    }

    private void onFailed(TargetStats target, long latencyNanos, long now) {
        if (latencyNanos > target.latencyNanos()) {
            target.onLatency(latencyNanos, now);
        }
        outliers.onFailed(target, stats.values(), ready, now);
    }

    synchronized void onNodeLost(NodeId node, long now) {
        for (TargetStats target : stats.values()) {
            if (target.record().node().id().equals(node)) {
                outliers.onUnreachable(target, "the connection to its node was lost", now);
            }
        }
    }

    synchronized void onNodeAnswered(NodeId node, long now) {
        for (TargetStats target : stats.values()) {
            boolean waiting = target.ejection.condition(now) == Condition.UNREACHABLE;
            if (waiting && target.record().node().id().equals(node)) {
                target.ejection.probeNow(now);
            }
        }
    }

    synchronized void addHealth(ImmutableList.Builder<TargetHealth> list, long now) {
        for (TargetStats target : stats.values()) {
            list.add(new TargetHealth(
                    target.record().node().id(),
                    target.record().service(),
                    target.ejection.condition(now),
                    target.inFlight(),
                    (long) target.latencyNanos(),
                    target.level(),
                    target.share(now)));
        }
    }

    synchronized double spillShare(long now) {
        return spill.value(now);
    }
}
