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
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides the status of suspected nodes of this data centre that have not refuted the suspicion in time: failed, or
 * missing if so many nodes do not answer that a partition is the more likely cause.
 *
 * <p>Invariant: no node is marked as failed during a mass loss, except after {@link
 * MembershipView#UNREACHABLE_RETENTION}. Confined to the control thread.
 */
final class SuspicionResolver {

    /**
     * Age after which failures no longer count towards a mass loss, and time for which a mass loss is assumed to
     * persist.
     */
    static final Duration MASS_LOSS_WINDOW = Duration.ofSeconds(60);

    /**
     * Factor by which nodes that do not probe a suspected node wait longer; their decision is needed if all its
     * observers have failed too.
     */
    private static final int NON_OBSERVER_TIMEOUT_FACTOR = 4;

    private final MembershipContext context;
    private final RecordMerger merger;
    private final Predicate<NodeId> isObserver;
    private final Set<NodeId> suspects = new LinkedHashSet<>();
    private final Set<NodeId> missing = new LinkedHashSet<>();
    private final Map<NodeId, Long> failures = new LinkedHashMap<>();
    private boolean massLoss;
    private long massLossAt;
    private long lastSuspicion;

    /** Creates the component; {@code isObserver} tests whether this node probes the given node. */
    SuspicionResolver(MembershipContext context, RecordMerger merger, Predicate<NodeId> isObserver) {
        this.context = context;
        this.merger = merger;
        this.isObserver = isObserver;
    }

    /** Handles a changed record of this data centre. */
    void onChange(MemberRecord after) {
        NodeId id = after.id();
        suspects.remove(id);
        missing.remove(id);
        failures.remove(id);
        switch (after.status()) {
            case SUSPECTED -> {
                suspects.add(id);
                lastSuspicion = context.now();
            }
            case MISSING -> missing.add(id);
            case FAILED -> failures.put(id, context.now());
            default -> {}
        }
    }

    boolean isSuspected(NodeId id) {
        return suspects.contains(id);
    }

    /**
     * Whether half or more of the nodes of this data centre do not answer, or did so within {@link #MASS_LOSS_WINDOW}.
     */
    boolean isMassLoss() {
        return massLoss;
    }

    /** Returns the nodes that may have recovered: missing nodes, and nodes that failed recently. */
    List<NodeId> unresponsive() {
        List<NodeId> unresponsive = new ArrayList<>(failures.keySet());
        unresponsive.addAll(missing);
        return unresponsive;
    }

    /**
     * Restarts the time of all suspected and missing nodes, because this node was paused and could not receive their
     * refutations.
     */
    void restartTimeouts(long now) {
        suspects.forEach(id -> context.view().resetAge(id, now));
        missing.forEach(id -> context.view().resetAge(id, now));
    }

    void discardAll() {
        suspects.clear();
        missing.clear();
        failures.clear();
    }

    /** Updates the status of the nodes whose time has expired, unless {@code quiet} is set. */
    void tick(long now, boolean quiet) {
        failures.values().removeIf(at -> now - at > MASS_LOSS_WINDOW.toNanos());
        updateMassLoss(now);
        if (quiet) {
            return;
        }
        MemberStatus status = massLoss ? MemberStatus.MISSING : MemberStatus.FAILED;
        for (NodeId id : List.copyOf(suspects)) {
            long suspectedFor = age(id, now);
            if (suspectedFor >= suspicionTimeout(id)
                    && (!isSuspicionRising(now)
                            || suspectedFor >= NON_OBSERVER_TIMEOUT_FACTOR * suspicionTimeout(id))) {
                resolve(id, status);
            }
        }
        for (NodeId id : List.copyOf(missing)) {
            boolean longMissing = age(id, now) >= MembershipView.UNREACHABLE_RETENTION.toNanos();
            boolean timedOut = !massLoss && age(id, now) >= suspicionTimeout(id);
            if (longMissing || timedOut) {
                resolve(id, MemberStatus.FAILED);
            }
        }
    }

    private void resolve(NodeId id, MemberStatus status) {
        MemberRecord unresponsive = context.view().find(id).orElseThrow();
        if (status == MemberStatus.FAILED) {
            context.events().record(EventKind.MEMBER_FAILED, id.value(), "suspected for long and has not denied");
        }
        merger.accept(unresponsive.withStatus(status));
    }

    private long suspicionTimeout(NodeId id) {
        return context.settings().suspicion().toNanos() * (isObserver.test(id) ? 1 : NON_OBSERVER_TIMEOUT_FACTOR);
    }

    /**
     * Whether the number of suspected nodes may still be rising.
     *
     * <p>When many nodes stop answering at once, for example after the failure of a switch, the first timeouts expire
     * before the last node is suspected. The first nodes would then be marked as failed before it is known that half of
     * the nodes are affected. One round of probes without a new suspicion shows the full extent.
     */
    private boolean isSuspicionRising(long now) {
        MembershipSettings settings = context.settings();
        Duration round = settings.probePeriod().plus(settings.probeTimeout().multipliedBy(2));
        return suspects.size() > 1 && now - lastSuspicion < round.toNanos();
    }

    /**
     * Detects a mass loss by the share of nodes that do not answer.
     *
     * <p>When a switch fails, the nodes on each side lose all nodes on the other side at once. If these were marked as
     * failed, both sides would drop the other side's targets and serve with the rest, although callers may still reach
     * all of them. Unresponsive nodes are kept instead and marked as unreachable, until they answer or are replaced. If
     * both sides reach a third one, refutations arrive through it and the share fluctuates; a mass loss therefore
     * persists for {@link #MASS_LOSS_WINDOW}.
     */
    private void updateMassLoss(long now) {
        int unresponsive = suspects.size() + missing.size() + failures.size();
        boolean half = unresponsive > 0 && 2 * unresponsive >= live() + failures.size();
        if (half && !massLoss) {
            context.events()
                    .record(
                            EventKind.PARTITION_SUSPECTED,
                            context.ownCentre().value(),
                            unresponsive + " nodes are silent: kept as unreachable until they answer or are replaced");
        }
        massLossAt = half ? now : massLossAt;
        massLoss = half || (massLoss && now - massLossAt < MASS_LOSS_WINDOW.toNanos());
    }

    private int live() {
        int live = 0;
        for (HeldRecord held : context.view().members(context.ownCentre())) {
            live += held.record().isLive() ? 1 : 0;
        }
        return live;
    }

    private long age(NodeId id, long now) {
        return context.view().held(id).map(held -> now - held.since()).orElse(0L);
    }
}
