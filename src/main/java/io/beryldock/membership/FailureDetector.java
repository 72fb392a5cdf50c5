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
 * Finds the nodes of this data centre that no longer answer: probes the successors on the rings, asks third nodes to
 * try, suspects, and after a time without denial takes for failed.
 *
 * <p>Invariants: a node is suspected only as {@link IndirectProber} confirms its silence; nobody
 * is taken for failed while half of the data centre or more is missing, since then the network is the likelier cause.
 * Control thread only.
 */
final class FailureDetector {

    /** Failures that old no longer count towards a mass loss. */
    static final Duration MASS_LOSS_WINDOW = Duration.ofSeconds(60);

    /** Nodes that are no observers take a suspected one for failed later, if all of its observers are gone too. */
    private static final int BYSTANDER_PATIENCE = 4;

    private static final Duration REPROBE_PERIOD = Duration.ofSeconds(2);
    private static final Duration HINT_PERIOD = Duration.ofSeconds(1);

    private final MembershipContext context;
    private final MembershipSettings settings;
    private final MembershipView view;
    private final IndirectProber indirect;
    private final RecordIntake intake;

    private final Map<NodeId, Long> nextProbes = new LinkedHashMap<>();
    private final Set<NodeId> probing = new LinkedHashSet<>();
    private final Set<NodeId> suspects = new LinkedHashSet<>();
    private final Set<NodeId> missing = new LinkedHashSet<>();
    private final Map<NodeId, Long> failures = new LinkedHashMap<>();
    private final Map<NodeId, Long> hints = new LinkedHashMap<>();
    private boolean ringChanged = true;
    private boolean massLoss;
    private long quietUntil;
    private long nextReprobe;

    FailureDetector(MembershipContext context, IndirectProber indirect, RecordIntake intake) {
        this.context = context;
        this.settings = context.settings();
        this.view = context.view();
        this.indirect = indirect;
        this.intake = intake;
        this.quietUntil = context.now();
        this.nextReprobe = context.now();
    }

    /** Notes a changed record of this data centre. */
    void onChange(MemberRecord after) {
        NodeId id = after.id();
        ringChanged = true;
        suspects.remove(id);
        missing.remove(id);
        failures.remove(id);
        if (after.status() == MemberStatus.SUSPECTED) {
            suspects.add(id);
        } else if (after.status() == MemberStatus.MISSING) {
            missing.add(id);
        } else if (after.status() == MemberStatus.FAILED) {
            failures.put(id, context.now());
        }
    }

    /** Whether this node is one of those that probe the given one. */
    boolean isObserverOf(NodeId id) {
        return nextProbes.containsKey(id);
    }

    /** Whether half of the data centre or more is missing. */
    boolean isMassLoss() {
        return massLoss;
    }

    /** Accuses nobody until then: after a pause, what this node missed looks like the silence of others. */
    void keepQuietUntil(long end) {
        quietUntil = end;
        probing.clear();
        indirect.forgetOpenProbes();
        long now = context.now();
        nextProbes.replaceAll((id, at) -> now);
        suspects.forEach(id -> view.restartClock(id, now));
        missing.forEach(id -> view.restartClock(id, now));
    }

    /** Forgets what was found of others, with the view itself. */
    void forgetAll() {
        suspects.clear();
        missing.clear();
        failures.clear();
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
        if (suspects.contains(id)) {
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
        failures.values().removeIf(at -> now - at > MASS_LOSS_WINDOW.toNanos());
        hints.values().removeIf(at -> now - at > HINT_PERIOD.toNanos());
        judgeSuspects(now);
        reprobeMissing(now);
    }

    private void chooseSuccessors(long now) {
        List<Held> members = new ArrayList<>();
        for (Held held : view.members(context.ownCentre())) {
            if (held.record().isLive() && held.record().status() != MemberStatus.MISSING) {
                members.add(held);
            }
        }
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
            if (at <= now) {
                due.add(id);
            }
        });
        for (NodeId id : due) {
            nextProbes.put(id, now + settings.probePeriod().toNanos());
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
            }

            @Override
            public void unanswered() {
                indirect.probe(id, silent -> endIndirect(target, silent));
            }
        });
    }

    private void endIndirect(MemberRecord target, boolean silent) {
        probing.remove(target.id());
        boolean quiet = context.now() - quietUntil < 0;
        boolean unchanged = view.find(target.id()).equals(Optional.of(target));
        if (silent && !quiet && unchanged && target.status() == MemberStatus.ALIVE) {
            context.events()
                    .record(EventKind.MEMBER_SUSPECTED, target.id().value(), "does not answer this node nor others");
            intake.accept(target.withStatus(MemberStatus.SUSPECTED));
        }
    }

    private void judgeSuspects(long now) {
        noteMassLoss();
        if (now - quietUntil < 0) {
            return;
        }
        MemberStatus verdict = massLoss ? MemberStatus.MISSING : MemberStatus.FAILED;
        for (NodeId id : List.copyOf(suspects)) {
            if (heldFor(id, now) >= patience(id)) {
                judge(id, verdict);
            }
        }
        for (NodeId id : List.copyOf(missing)) {
            boolean longMissing = heldFor(id, now) >= MembershipView.UNREACHABLE_RETENTION.toNanos();
            boolean believed = !massLoss && heldFor(id, now) >= patience(id);
            if (longMissing || believed) {
                judge(id, MemberStatus.FAILED);
            }
        }
    }

    private long patience(NodeId id) {
        return settings.suspicion().toNanos() * (isObserverOf(id) ? 1 : BYSTANDER_PATIENCE);
    }

    private void judge(NodeId id, MemberStatus verdict) {
        MemberRecord silent = view.find(id).orElseThrow();
        if (verdict == MemberStatus.FAILED) {
            context.events().record(EventKind.MEMBER_FAILED, id.value(), "suspected for long and has not denied");
        }
        intake.accept(silent.withStatus(verdict));
    }

    /**
     * Tells a mass loss by the share that is missing.
     *
     * <p>When a switch fails, the nodes on either side lose all on the other at once. Were those taken for failed, both
     * sides would drop their targets and each serve with what is left, although callers may still reach the others.
     * Missing nodes are kept instead, marked unreachable, until they answer or others have taken their place.
     */
    private void noteMassLoss() {
        int silent = suspects.size() + missing.size() + failures.size();
        boolean now = silent > 0 && 2 * silent >= live() + failures.size();
        if (now && !massLoss) {
            context.events()
                    .record(
                            EventKind.PARTITION_SUSPECTED,
                            context.ownCentre().value(),
                            silent + " nodes are missing at once: kept as unreachable until they answer");
        }
        massLoss = now;
    }

    private int live() {
        int live = 0;
        for (Held held : view.members(context.ownCentre())) {
            live += held.record().isLive() ? 1 : 0;
        }
        return live;
    }

    /** Tries one of the missing now and then, so that the end of a partition is noticed. */
    private void reprobeMissing(long now) {
        if (now - nextReprobe < 0) {
            return;
        }
        nextReprobe = now + REPROBE_PERIOD.toNanos();
        List<NodeId> silent = new ArrayList<>(failures.keySet());
        silent.addAll(missing);
        if (!silent.isEmpty()) {
            probe(silent.get(context.random().nextInt(silent.size())));
        }
    }

    private long heldFor(NodeId id, long now) {
        return view.held(id).map(held -> now - held.since()).orElse(0L);
    }

    private boolean isLocalLive(NodeId id) {
        return !id.equals(context.id())
                && view.find(id)
                        .filter(MemberRecord::isLive)
                        .filter(context::isOwnCentre)
                        .isPresent();
    }
}
