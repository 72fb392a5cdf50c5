package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.Held;
import io.beryldock.timeline.EventKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the nodes of this data centre that no longer answer: probes the successors on the rings, has third nodes try,
 * and suspects.
 *
 * <p>What becomes of a suspected node is up to {@link SuspicionJudge}. Invariant: a node is suspected only as
 * {@link IndirectProber} confirms its silence. Control thread only.
 */
final class FailureDetector {

    private static final Duration REPROBE_PERIOD = Duration.ofSeconds(2);
    private static final Duration HINT_PERIOD = Duration.ofSeconds(1);

    private final MembershipContext context;
    private final MembershipView view;
    private final IndirectProber indirect;
    private final RecordIntake intake;
    private final SuspicionJudge judge;
    private final Accusations accusations = new Accusations();

    private final Map<NodeId, Long> nextProbes = new LinkedHashMap<>();
    private final Set<NodeId> probing = new LinkedHashSet<>();
    private final Map<NodeId, Long> hints = new LinkedHashMap<>();
    private boolean ringChanged = true;
    private long quietUntil;
    private long nextReprobe;

    FailureDetector(MembershipContext context, IndirectProber indirect, RecordIntake intake) {
        this.context = context;
        this.view = context.view();
        this.indirect = indirect;
        this.intake = intake;
        this.judge = new SuspicionJudge(context, intake, this::isObserverOf);
        this.quietUntil = context.now();
        this.nextReprobe = context.now();
    }

    /** Notes a changed record of this data centre. */
    void onChange(MemberRecord after) {
        ringChanged = true;
        judge.onChange(after);
    }

    /** Whether this node is one of those that probe the given one. */
    boolean isObserverOf(NodeId id) {
        return nextProbes.containsKey(id);
    }

    /** Whether half of the data centre or more is silent. */
    boolean isMassLoss() {
        return judge.isMassLoss();
    }

    /** Accuses nobody until then: after a pause, what this node missed looks like the silence of others. */
    void keepQuietUntil(long end) {
        quietUntil = end;
        probing.clear();
        indirect.forgetOpenProbes();
        long now = context.now();
        nextProbes.replaceAll((id, at) -> now);
        judge.restartClocks(now);
    }

    /** Forgets what was found of others, with the view itself. */
    void forgetAll() {
        judge.forgetAll();
        nextProbes.clear();
        ringChanged = true;
    }

    /** Probes a node of this data centre at once, if it was not hinted at a moment ago. */
    void hintUnreachable(NodeId id) {
        long now = context.now();
        Long last = hints.get(id);
        boolean recent = last != null && now - last < HINT_PERIOD.toNanos();
        if (recent || !isLocalLive(id)) {
            return;
        }
        hints.put(id, now);
        probe(id);
    }

    /** Lets a suspected node that answered traffic deny at once. */
    void hintAlive(NodeId id) {
        if (judge.isSuspected(id)) {
            hintUnreachable(id);
        }
    }

    void tick(long now) {
        if (ringChanged) {
            ringChanged = false;
            chooseSuccessors(now);
        }
        probeDue(now);
        indirect.tick(now);
        judge.tick(now, now - quietUntil < 0);
        reprobeSilent(now);
        accusations.forgetOld(now);
        hints.values().removeIf(at -> now - at > HINT_PERIOD.toNanos());
    }

    private void chooseSuccessors(long now) {
        List<Held> members = new ArrayList<>();
        for (Held held : view.members(context.ownCentre())) {
            if (held.record().isLive() && held.record().status() != MemberStatus.MISSING) {
                members.add(held);
            }
        }
        MembershipSettings settings = context.settings();
        Set<NodeId> next = RingNeighbours.successors(context.id(), members, settings.observers());
        nextProbes.keySet().retainAll(next);
        long period = settings.probePeriod().toNanos();
        next.forEach(id ->
                nextProbes.computeIfAbsent(id, added -> now + context.random().nextLong(period)));
        context.neighbours().setSuccessors(next);
    }

    private void probeDue(long now) {
        List<NodeId> due = new ArrayList<>();
        nextProbes.forEach((id, at) -> {
            if (at - now <= 0) {
                due.add(id);
            }
        });
        for (NodeId id : due) {
            nextProbes.put(id, now + context.settings().probePeriod().toNanos());
            probe(id);
        }
    }

    private void probe(NodeId id) {
        if (!probing.add(id)) {
            return;
        }
        MemberRecord target = view.find(id).orElseThrow();
        context.prober().probe(target, new Prober.ProbeListener() {
            @Override
            public void answered(NodeId by) {
                probing.remove(id);
                indirect.onAnswer(id);
                accusations.clear(id);
            }

            @Override
            public void unanswered() {
                indirect.probe(id, silent -> endIndirect(target, silent));
            }
        });
    }

    private void endIndirect(MemberRecord target, boolean silent) {
        probing.remove(target.id());
        long now = context.now();
        boolean mayAccuse = now - quietUntil >= 0 && accusations.isAllowed(target.id(), now);
        boolean unchanged = view.find(target.id()).equals(Optional.of(target));
        if (silent && mayAccuse && unchanged && target.status() == MemberStatus.ALIVE) {
            accusations.note(target.id(), now);
            context.events()
                    .record(EventKind.MEMBER_SUSPECTED, target.id().value(), "does not answer this node nor others");
            intake.accept(target.withStatus(MemberStatus.SUSPECTED));
        }
    }

    /** Tries one of the silent now and then, so that the end of a partition is noticed. */
    private void reprobeSilent(long now) {
        if (now - nextReprobe < 0) {
            return;
        }
        nextReprobe = now + REPROBE_PERIOD.toNanos();
        List<NodeId> silent = judge.silent();
        if (!silent.isEmpty()) {
            probe(silent.get(context.random().nextInt(silent.size())));
        }
    }

    private boolean isLocalLive(NodeId id) {
        return !id.equals(context.id())
                && view.find(id)
                        .filter(MemberRecord::isLive)
                        .filter(context::isOwnCentre)
                        .isPresent();
    }
}
