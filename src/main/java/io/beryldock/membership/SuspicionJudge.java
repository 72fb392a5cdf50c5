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
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides what becomes of the suspected nodes of this data centre that have not denied in time: failed, or missing when
 * so many are silent that the network is the likelier cause.
 *
 * <p>Invariant: nobody is taken for failed while half of the data centre or more is silent, unless for very long.
 * Control thread only.
 */
final class SuspicionJudge {

    /** Failures that old no longer count towards a mass loss, and for so long one is held for lasting. */
    static final Duration MASS_LOSS_WINDOW = Duration.ofSeconds(60);

    /** Nodes that are no observers judge a suspected one later, if all of its observers are gone too. */
    private static final int BYSTANDER_PATIENCE = 4;

    private final MembershipContext context;
    private final RecordIntake intake;
    private final Predicate<NodeId> isObserved;
    private final Set<NodeId> suspects = new LinkedHashSet<>();
    private final Set<NodeId> missing = new LinkedHashSet<>();
    private final Map<NodeId, Long> failures = new LinkedHashMap<>();
    private boolean massLoss;
    private long massLossAt;
    private long lastSuspicion;

    /** Makes the judge; {@code isObserved} tells whether this node probes the given one. */
    SuspicionJudge(MembershipContext context, RecordIntake intake, Predicate<NodeId> isObserved) {
        this.context = context;
        this.intake = intake;
        this.isObserved = isObserved;
    }

    /** Notes a changed record of this data centre. */
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

    /** Whether half of the data centre or more is silent. */
    boolean isMassLoss() {
        return massLoss;
    }

    /** The nodes that may have come back: the missing, and those that failed a short time ago. */
    List<NodeId> silent() {
        List<NodeId> silent = new ArrayList<>(failures.keySet());
        silent.addAll(missing);
        return silent;
    }

    /** Gives all suspected nodes their time to deny anew: this node was paused and could not hear them. */
    void restartClocks(long now) {
        suspects.forEach(id -> context.view().restartClock(id, now));
        missing.forEach(id -> context.view().restartClock(id, now));
    }

    void forgetAll() {
        suspects.clear();
        missing.clear();
        failures.clear();
    }

    /** Judges those whose time is over, unless this node has to keep quiet. */
    void tick(long now, boolean quiet) {
        failures.values().removeIf(at -> now - at > MASS_LOSS_WINDOW.toNanos());
        noteMassLoss(now);
        if (quiet) {
            return;
        }
        MemberStatus verdict = massLoss ? MemberStatus.MISSING : MemberStatus.FAILED;
        for (NodeId id : List.copyOf(suspects)) {
            long age = heldFor(id, now);
            if (age >= patience(id) && (!isSpreading(now) || age >= BYSTANDER_PATIENCE * patience(id))) {
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

    private void judge(NodeId id, MemberStatus verdict) {
        MemberRecord silent = context.view().find(id).orElseThrow();
        if (verdict == MemberStatus.FAILED) {
            context.events().record(EventKind.MEMBER_FAILED, id.value(), "suspected for long and has not denied");
        }
        intake.accept(silent.withStatus(verdict));
    }

    private long patience(NodeId id) {
        return context.settings().suspicion().toNanos() * (isObserved.test(id) ? 1 : BYSTANDER_PATIENCE);
    }

    /**
     * Whether more and more nodes are being suspected.
     *
     * <p>When many fall silent at once, as by a failed switch, the first verdicts would be due before the last
     * suspicion is out, and the first silent ones be taken for failed before it shows that half are missing. One
     * round of probes without a new suspicion shows the whole extent.
     */
    private boolean isSpreading(long now) {
        MembershipSettings settings = context.settings();
        Duration round = settings.probePeriod().plus(settings.probeTimeout().multipliedBy(2));
        return suspects.size() > 1 && now - lastSuspicion < round.toNanos();
    }

    /**
     * Tells a mass loss by the share that is silent.
     *
     * <p>When a switch fails, the nodes on either side lose all on the other at once. Were those taken for failed, both
     * sides would drop their targets and each serve with what is left, although callers may still reach the others.
     * Silent nodes are kept instead, marked unreachable, until they answer or others have taken their place. Where both
     * sides reach a third one, denials come in by it and the share goes up and down; so a mass loss lasts a while.
     */
    private void noteMassLoss(long now) {
        int silent = suspects.size() + missing.size() + failures.size();
        boolean half = silent > 0 && 2 * silent >= live() + failures.size();
        if (half && !massLoss) {
            context.events()
                    .record(
                            EventKind.PARTITION_SUSPECTED,
                            context.ownCentre().value(),
                            silent + " nodes are silent: kept as unreachable until they answer or are replaced");
        }
        massLossAt = half ? now : massLossAt;
        massLoss = half || (massLoss && now - massLossAt < MASS_LOSS_WINDOW.toNanos());
    }

    private int live() {
        int live = 0;
        for (Held held : context.view().members(context.ownCentre())) {
            live += held.record().isLive() ? 1 : 0;
        }
        return live;
    }

    private long heldFor(NodeId id, long now) {
        return context.view().held(id).map(held -> now - held.since()).orElse(0L);
    }
}
