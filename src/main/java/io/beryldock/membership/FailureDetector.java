package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.membership.MembershipView.HeldRecord;
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
 * Detects nodes of this data centre that no longer answer: probes the ring successors of this node, directly and then
 * through helpers, and marks a node as suspected when both fail.
 *
 * <p>{@link SuspicionResolver} decides on the further status of a suspected node. Invariant: a node becomes suspected
 * only after {@link IndirectProber} has confirmed that it does not answer. Confined to the control thread.
 */
final class FailureDetector {

    private static final Duration REPROBE_PERIOD = Duration.ofSeconds(2);
    private static final Duration HINT_PERIOD = Duration.ofSeconds(1);

    private final MembershipContext context;
    private final MembershipView view;
    private final IndirectProber indirect;
    private final RecordMerger merger;
    private final SuspicionResolver resolver;
    private final SuspicionBackoff suspicionBackoff = new SuspicionBackoff();

    private final Map<NodeId, Long> nextProbes = new LinkedHashMap<>();
    private final Set<NodeId> probing = new LinkedHashSet<>();
    private final Map<NodeId, Long> recentHints = new LinkedHashMap<>();
    private boolean ringChanged = true;
    private long suspicionsSuspendedUntil;
    private long nextReprobe;

    FailureDetector(MembershipContext context, IndirectProber indirect, RecordMerger merger) {
        this.context = context;
        this.view = context.view();
        this.indirect = indirect;
        this.merger = merger;
        this.resolver = new SuspicionResolver(context, merger, this::isObserverOf);
        this.suspicionsSuspendedUntil = context.now();
        this.nextReprobe = context.now();
    }

    /** Handles a changed record of this data centre. */
    void onChange(MemberRecord after) {
        ringChanged = true;
        resolver.onChange(after);
    }

    /** Whether this node probes the given node regularly. */
    boolean isObserverOf(NodeId id) {
        return nextProbes.containsKey(id);
    }

    /** Whether half or more of the nodes of this data centre do not answer. */
    boolean isMassLoss() {
        return resolver.isMassLoss();
    }

    /**
     * Suspends new suspicions until the given time: after a pause of this node, messages that it missed are
     * indistinguishable from nodes that do not answer.
     */
    void suspendSuspicionsUntil(long end) {
        suspicionsSuspendedUntil = end;
        probing.clear();
        indirect.discardOpenProbes();
        long now = context.now();
        nextProbes.replaceAll((id, at) -> now);
        resolver.restartTimeouts(now);
    }

    /** Discards all findings about other nodes, when the view itself is discarded. */
    void discardAll() {
        resolver.discardAll();
        nextProbes.clear();
        ringChanged = true;
    }

    /** Probes a node of this data centre immediately, unless a recent hint has already caused a probe. */
    void hintUnreachable(NodeId id) {
        long now = context.now();
        Long last = recentHints.get(id);
        boolean recent = last != null && now - last < HINT_PERIOD.toNanos();
        if (recent || !isLocalLive(id)) {
            return;
        }
        recentHints.put(id, now);
        probe(id);
    }

    /** Probes a suspected node that answered traffic, so that it can refute the suspicion without delay. */
    void hintAlive(NodeId id) {
        if (resolver.isSuspected(id)) {
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
        resolver.tick(now, now - suspicionsSuspendedUntil < 0);
        reprobeUnresponsive(now);
        suspicionBackoff.removeExpired(now);
        recentHints.values().removeIf(at -> now - at > HINT_PERIOD.toNanos());
    }

    private void chooseSuccessors(long now) {
        List<HeldRecord> members = new ArrayList<>();
        for (HeldRecord held : view.members(context.ownCentre())) {
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
                suspicionBackoff.reset(id);
            }

            @Override
            public void unanswered() {
                indirect.probe(id, unresponsive -> onIndirectResult(target, unresponsive));
            }
        });
    }

    private void onIndirectResult(MemberRecord target, boolean unresponsive) {
        probing.remove(target.id());
        long now = context.now();
        boolean maySuspect =
                now - suspicionsSuspendedUntil >= 0 && suspicionBackoff.isSuspicionAllowed(target.id(), now);
        boolean unchanged = view.find(target.id()).equals(Optional.of(target));
        if (unresponsive && maySuspect && unchanged && target.status() == MemberStatus.ALIVE) {
            suspicionBackoff.onSuspicion(target.id(), now);
            context.events()
                    .record(EventKind.MEMBER_SUSPECTED, target.id().value(), "does not answer this node nor others");
            merger.accept(target.withStatus(MemberStatus.SUSPECTED));
        }
    }

    /** Periodically probes one unresponsive node, so that the end of a partition is detected. */
    private void reprobeUnresponsive(long now) {
        if (now - nextReprobe < 0) {
            return;
        }
        nextReprobe = now + REPROBE_PERIOD.toNanos();
        List<NodeId> unresponsive = resolver.unresponsive();
        if (!unresponsive.isEmpty()) {
            probe(unresponsive.get(context.random().nextInt(unresponsive.size())));
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
