package io.beryldock.routing;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.CallResult;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.TargetLoad;
import io.beryldock.load.PauseDetector;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import io.beryldock.routing.TargetHealth.Condition;
import io.beryldock.timeline.EventSink;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * State of the targets of one service as seen by this node, and the choice among them.
 *
 * <p>Thread safe: one lock, held for about a microsecond.
 */
final class ServiceTargets {

    /** Least share of retries that go to other data centres, since the whole local one may have failed. */
    private static final double RETRY_SPILL_SHARE = 0.5;

    private final Distances distances;
    private final RandomGenerator random;
    private final ChooserSettings settings;
    private final OutlierDetector outlierDetector;
    private final Map<Key, TargetStats> stats = new HashMap<>();
    private final List<List<TargetStats>> tiers = new ArrayList<>();
    private final ServiceBaseline baseline = new ServiceBaseline();
    private final FlapHistory flaps = new FlapHistory();
    private final TargetSelector selector;
    private final QueueWaitEstimator queueWaits;
    private final SpillShare spill;
    private final PauseDetector pauseDetector;
    private ImmutableList<TargetRecord> current = ImmutableList.of();
    private int distanceVersion = -1;
    private int ready;

    ServiceTargets(Distances distances, RandomGenerator random, EventSink events, ChooserSettings settings, long now) {
        this.distances = distances;
        this.random = random;
        this.settings = settings;
        this.outlierDetector = new OutlierDetector(random, events, settings, now);
        this.selector = new TargetSelector(random, settings.placement().cost(), baseline);
        this.queueWaits = new QueueWaitEstimator(settings.crossingPrice().toNanos() + distances.nearRoundTripNanos());
        this.spill = new SpillShare(now, queueWaits);
        this.pauseDetector = new PauseDetector(now);
        for (int i = 0; i < Distances.TIERS; i++) {
            tiers.add(new ArrayList<>());
        }
    }

    private record Key(NodeId node, Incarnation incarnation) {
        static Key of(TargetRecord target) {
            return new Key(target.node().id(), target.node().incarnation());
        }

        // Written by hand: the generated equals of a record is an invokedynamic call, which the C1 compiler used by
        // nodes does not inline.
        @Override
        public boolean equals(Object other) {
            return other instanceof Key that && node.equals(that.node) && incarnation.equals(that.incarnation);
        }

        @Override
        public int hashCode() {
            return 31 * node.hashCode() + incarnation.hashCode();
        }
    }

    synchronized Optional<TargetRecord> choose(
            ImmutableList<TargetRecord> targets, ChoiceConstraints constraints, long now) {
        pauseDetector.onEvent(now);
        refresh(targets, now);
        TargetStats chosen = chooseByTier(constraints, now);
        if (chosen == null) {
            chosen = chooseAnyReady(constraints);
        }
        return Optional.ofNullable(chosen).map(TargetStats::record);
    }

    /** A target that is known to have free slots, for a call that a full target has refused. */
    synchronized Optional<TargetRecord> chooseFree(ChoiceConstraints constraints, long now) {
        for (List<TargetStats> tier : tiers) {
            TargetStats found = selector.selectFree(tier, constraints, now);
            if (found != null) {
                return Optional.of(found.record());
            }
        }
        return Optional.empty();
    }

    private TargetStats chooseByTier(ChoiceConstraints constraints, long now) {
        boolean localFirst = random.nextDouble() >= spillProbability(constraints, now);
        int[] order = localFirst
                ? new int[] {Distances.OWN, Distances.NEAR, Distances.FAR}
                : new int[] {Distances.NEAR, Distances.OWN, Distances.FAR};
        for (int tier : order) {
            TargetStats found = selector.select(tiers.get(tier), constraints, now);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private double spillProbability(ChoiceConstraints constraints, long now) {
        double probability = constraints.isRetry() ? Math.max(RETRY_SPILL_SHARE, spill.value(now)) : spill.value(now);
        if (!settings.placement().usesReports()) {
            return probability;
        }
        // Protects local targets that all returned at the same time, as after a network partition, from getting the
        // whole load at once: their ramp share limits the share of calls that stay local.
        double rampShare = selector.maxRampShare(tiers.get(Distances.OWN), constraints, now);
        return Math.max(probability, 1 - rampShare);
    }

    /**
     * Any ready target, also an ejected one, as a last resort.
     *
     * <p>A wrong ejection must not make a service unavailable, and a refused connection costs little.
     */
    private TargetStats chooseAnyReady(ChoiceConstraints constraints) {
        List<TargetStats> allowed = new ArrayList<>();
        for (List<TargetStats> tier : tiers) {
            for (TargetStats target : tier) {
                if (!constraints.excludes(target.record().node().id())) {
                    allowed.add(target);
                }
            }
        }
        return allowed.isEmpty() ? null : allowed.get(random.nextInt(allowed.size()));
    }

    /** Updates the state from the directory, whose lists are immutable: the same list instance has the same targets. */
    @SuppressWarnings("ReferenceEquality")
    private void refresh(ImmutableList<TargetRecord> targets, long now) {
        boolean unchanged = targets == current && distanceVersion == distances.version();
        if (unchanged) {
            return;
        }
        boolean isFirstRefresh = stats.isEmpty();
        distanceVersion = distances.version();
        current = targets;
        tiers.forEach(List::clear);
        ready = 0;
        Map<Key, TargetStats> previous = new HashMap<>(stats);
        stats.values().removeIf(target -> target.inFlight() == 0);
        for (TargetRecord target : targets) {
            if (target.state() == TargetState.READY) {
                addReady(target, previous.get(Key.of(target)), isFirstRefresh, now);
            }
        }
    }

    private void addReady(TargetRecord target, TargetStats known, boolean isFirstRefresh, long now) {
        TargetStats entry = known == null ? new TargetStats(target, now) : known;
        if (known == null) {
            onAdded(entry, isFirstRefresh, now);
        }
        if (target.revision() != entry.record().revision() && mayProbeImmediately(entry)) {
            entry.ejection.probeNow(now);
        }
        entry.update(target);
        stats.put(Key.of(target), entry);
        tiers.get(distances.tier(target.node().dataCentre())).add(entry);
        ready++;
    }

    private void onAdded(TargetStats target, boolean isFirstRefresh, long now) {
        int rampFactor = flaps.onReturn(target.record().node().id(), now);
        if (!isFirstRefresh) {
            int factor = settings.placement().usesReports() ? rampFactor : 1;
            target.startRamp(now, settings.ramp().toNanos() * factor);
        }
    }

    /** Whether a new revision of its directory record ends the target's ejection; it does not for a flapping target. */
    private boolean mayProbeImmediately(TargetStats target) {
        return !settings.placement().usesReports() || !target.ejection.isRepeated();
    }

    synchronized void onStart(TargetRecord target, long now) {
        pauseDetector.onEvent(now);
        TargetStats known = stats.get(Key.of(target));
        if (known != null) {
            known.onStart(now);
        }
    }

    synchronized void onResult(TargetRecord target, CallResult result, long latencyNanos, CallKind kind, long now) {
        pauseDetector.onEvent(now);
        TargetStats known = stats.get(Key.of(target));
        if (known == null) {
            return;
        }
        known.onEnd(now);
        HealthSignal signal = HealthSignal.of(result, latencyNanos, baseline.latencyNanos());
        recordLoad(known, result, latencyNanos, now);
        recordPressure(known, result, signal, now);
        switch (signal) {
            case WELL -> onSuccess(known, latencyNanos, kind, now);
            case FULL -> outlierDetector.onAlive(known, now);
            case LEAVING -> known.onLeaving(now);
            case FAILED -> onFailed(known, latencyNanos, kind, now);
            case UNREACHABLE -> outlierDetector.onUnreachable(known, "no connection could be made", now);
            default -> {}
        }
    }

    /** Ignores a report that may have waited in the buffers of this node during a pause, since it is outdated. */
    private void recordLoad(TargetStats target, CallResult result, long latencyNanos, long now) {
        boolean used = settings.placement().usesReports() && !pauseDetector.hasPausedSince(now - latencyNanos);
        if (!used || result.load().isEmpty()) {
            return;
        }
        TargetLoad load = result.load().get();
        target.reported.onReport(load, now);
        baseline.onReport(load);
        queueWaits.onReport(isLocal(target), load, now);
    }

    private boolean isLocal(TargetStats target) {
        return distances.tier(target.record().node().dataCentre()) == Distances.OWN;
    }

    private void recordPressure(TargetStats target, CallResult result, HealthSignal signal, long now) {
        if (signal != HealthSignal.WELL && signal != HealthSignal.FULL) {
            return;
        }
        for (ServiceLevel level : result.levels()) {
            if (level.service().equals(target.record().service())) {
                target.onLevel(level.level());
            }
        }
        double closedShare = 1 - (double) target.level() / ServiceLevel.OPEN;
        double pressure = signal == HealthSignal.FULL ? 1 : closedShare;
        target.onPressure(pressure, now);
        spill.onResult(isLocal(target), pressure, now);
    }

    private void onSuccess(TargetStats target, long latencyNanos, CallKind kind, long now) {
        outlierDetector.onSuccess(target, now);
        double relativeLatency = baseline.onLatency(kind, latencyNanos);
        target.onLatency(latencyNanos, relativeLatency, now);
    }

    private void onFailed(TargetStats target, long latencyNanos, CallKind kind, long now) {
        if (latencyNanos > target.latencyNanos()) {
            target.onLatency(latencyNanos, baseline.relativeLatency(kind, latencyNanos), now);
        }
        outlierDetector.onFailed(target, stats.values(), ready, now);
    }

    synchronized void onNodeLost(NodeId node, long now) {
        for (TargetStats target : stats.values()) {
            if (target.record().node().id().equals(node)) {
                outlierDetector.onUnreachable(target, "the connection to its node was lost", now);
            }
        }
    }

    synchronized void onNodeAnswered(NodeId node, long now) {
        for (TargetStats target : stats.values()) {
            boolean unreachable = target.ejection.condition(now) == Condition.UNREACHABLE;
            if (unreachable && target.record().node().id().equals(node)) {
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
                    target.rampShare(now),
                    target.reported.free(now),
                    target.reported.ageNanos(now),
                    target.slowness(baseline, now)));
        }
    }

    synchronized double spillShare(long now) {
        return spill.value(now);
    }
}
