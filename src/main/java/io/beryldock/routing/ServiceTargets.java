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
 * What this node knows of the targets of one service, and the choice among them.
 *
 * <p>Thread safe: one lock, held for about a microsecond.
 */
final class ServiceTargets {

    /** Share of second attempts that leave the own data centre: what failed may be the whole of it. */
    private static final double RETRY_SPILL = 0.5;

    private final Distances distances;
    private final RandomGenerator random;
    private final ChooserSettings settings;
    private final OutlierDetector outliers;
    private final Map<Key, TargetStats> stats = new HashMap<>();
    private final List<List<TargetStats>> tiers = new ArrayList<>();
    private final UsualTimes usual = new UsualTimes();
    private final ReturnMemory returns = new ReturnMemory();
    private final TargetDraw draw;
    private final CentreWaits waits;
    private final SpillShare spill;
    private final PauseDetector pauses;
    private ImmutableList<TargetRecord> current = ImmutableList.of();
    private int distanceVersion = -1;
    private int ready;

    ServiceTargets(Distances distances, RandomGenerator random, EventSink events, ChooserSettings settings, long now) {
        this.distances = distances;
        this.random = random;
        this.settings = settings;
        this.outliers = new OutlierDetector(random, events, settings, now);
        this.draw = new TargetDraw(random, settings.placement().cost(), usual);
        this.waits = new CentreWaits(settings.crossingPrice().toNanos() + distances.nearNanos());
        this.spill = new SpillShare(now, waits);
        this.pauses = new PauseDetector(now);
        for (int i = 0; i < Distances.TIERS; i++) {
            tiers.add(new ArrayList<>());
        }
    }

    private record Key(NodeId node, Incarnation incarnation) {
        static Key of(TargetRecord target) {
            return new Key(target.node().id(), target.node().incarnation());
        }

        // Written out: nodes' C1 compiler does not inline the generated equals of a record, an invokedynamic call.
        @Override
        public boolean equals(Object other) {
            return other instanceof Key that && node.equals(that.node) && incarnation.equals(that.incarnation);
        }

        @Override
        public int hashCode() {
            return 31 * node.hashCode() + incarnation.hashCode();
        }
    }

    synchronized Optional<TargetRecord> choose(ImmutableList<TargetRecord> targets, Barred barred, long now) {
        pauses.onEvent(now);
        refresh(targets, now);
        TargetStats chosen = chooseByTier(barred, now);
        if (chosen == null) {
            chosen = anyReady(barred);
        }
        return Optional.ofNullable(chosen).map(TargetStats::record);
    }

    /** A target that is known to have free slots now, for a call that a full one has refused. */
    synchronized Optional<TargetRecord> chooseFree(Barred barred, long now) {
        for (List<TargetStats> tier : tiers) {
            TargetStats found = draw.drawFree(tier, barred, now);
            if (found != null) {
                return Optional.of(found.record());
            }
        }
        return Optional.empty();
    }

    private TargetStats chooseByTier(Barred barred, long now) {
        boolean ownFirst = random.nextDouble() >= leavingShare(barred, now);
        int[] order = ownFirst
                ? new int[] {Distances.OWN, Distances.NEAR, Distances.FAR}
                : new int[] {Distances.NEAR, Distances.OWN, Distances.FAR};
        for (int tier : order) {
            TargetStats found = draw.draw(tiers.get(tier), barred, now);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private double leavingShare(Barred barred, long now) {
        double leaving = barred.isRetry() ? Math.max(RETRY_SPILL, spill.value(now)) : spill.value(now);
        if (!settings.placement().usesReports()) {
            return leaving;
        }
        // Targets that all have just come back, as after a cut, would otherwise be met by all calls at once.
        double warmth = draw.warmth(tiers.get(Distances.OWN), barred, now);
        return Math.max(leaving, 1 - warmth);
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
        if (known == null) {
            onAppeared(kept, first, now);
        }
        if (target.revision() != kept.record().revision() && mayProbeAtOnce(kept)) {
            kept.ejection.probeNow(now);
        }
        kept.update(target);
        stats.put(Key.of(target), kept);
        tiers.get(distances.tier(target.node().dataCentre())).add(kept);
        ready++;
    }

    private void onAppeared(TargetStats target, boolean first, long now) {
        int slower = returns.onReturn(target.record().node().id(), now);
        if (!first) {
            int times = settings.placement().usesReports() ? slower : 1;
            target.startCold(now, settings.ramp().toNanos() * times);
        }
    }

    /** News of a target ends its ejection, but not of one that goes and comes by turns. */
    private boolean mayProbeAtOnce(TargetStats target) {
        return !settings.placement().usesReports() || !target.ejection.isRepeated();
    }

    synchronized void onStart(TargetRecord target, long now) {
        pauses.onEvent(now);
        TargetStats known = stats.get(Key.of(target));
        if (known != null) {
            known.onStart(now);
        }
    }

    synchronized void onResult(TargetRecord target, CallResult result, long latencyNanos, CallKind kind, long now) {
        pauses.onEvent(now);
        TargetStats known = stats.get(Key.of(target));
        if (known == null) {
            return;
        }
        known.onEnd(now);
        CallSign sign = CallSign.of(result, latencyNanos, usual.latencyNanos());
        noteLoad(known, result, latencyNanos, now);
        notePressure(known, result, sign, now);
        switch (sign) {
            case WELL -> onWell(known, latencyNanos, kind, now);
            case FULL -> outliers.onAlive(known, now);
            case LEAVING -> known.onLeaving(now);
            case FAILED -> onFailed(known, latencyNanos, kind, now);
            case UNREACHABLE -> outliers.onUnreachable(known, "no connection could be made", now);
            default -> {}
        }
    }

    /** A report that waited in this node's buffers while it was paused tells of a time before. */
    private void noteLoad(TargetStats target, CallResult result, long latencyNanos, long now) {
        boolean used = settings.placement().usesReports() && !pauses.hasPausedSince(now - latencyNanos);
        if (!used || result.load().isEmpty()) {
            return;
        }
        TargetLoad load = result.load().get();
        target.reported.onReport(load, now);
        usual.onReport(load);
        waits.onReport(isOwn(target), load, now);
    }

    private boolean isOwn(TargetStats target) {
        return distances.tier(target.record().node().dataCentre()) == Distances.OWN;
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
        spill.onResult(isOwn(target), pressure, now);
    }

    private void onWell(TargetStats target, long latencyNanos, CallKind kind, long now) {
        outliers.onWell(target, now);
        double relative = usual.onLatency(kind, latencyNanos);
        target.onLatency(latencyNanos, relative, now);
    }

    private void onFailed(TargetStats target, long latencyNanos, CallKind kind, long now) {
        if (latencyNanos > target.latencyNanos()) {
            target.onLatency(latencyNanos, usual.relative(kind, latencyNanos), now);
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
                    target.share(now),
                    target.reported.free(now),
                    target.reported.ageNanos(now),
                    target.slowness(usual, now)));
        }
    }

    synchronized double spillShare(long now) {
        return spill.value(now);
    }
}
