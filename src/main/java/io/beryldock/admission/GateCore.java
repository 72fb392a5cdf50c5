package io.beryldock.admission;

import io.beryldock.call.Reason;
import io.beryldock.call.ServiceName;
import io.beryldock.call.TargetLoad;
import io.beryldock.timeline.EventSink;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Decision logic of one target's gate: a pure function of its state, the event and the time.
 *
 * <p>Invariants, checked where they could be violated: an admission never raises the number of requests in flight above
 * the limit, and thus never above the announced slots; each submitted request is decided exactly once; a refused
 * request was never admitted; nothing is admitted while draining; no request is admitted while a more important one is
 * queued. Guarded by the gate's lock.
 */
final class GateCore {

    private static final double MIN_BOUND = 4;

    private final RandomGenerator random;
    private final Invariants invariants;
    private final GateEvents events;
    private final ServiceTimes times = new ServiceTimes();
    private final ConcurrencyLimit limit;
    private final StandingQueueDetector standing;
    private final LevelController levels;
    private final GateCounts counts = new GateCounts();
    private final TreeSet<GateEntry> queue = new TreeSet<>(GateEntry.BY_IMPORTANCE);
    private final Set<GateEntry> running = new HashSet<>();
    private final List<CompletableFuture<Void>> idleFutures = new ArrayList<>();
    private GateSettings settings;
    private boolean draining;
    private long lastProgressAt;

    GateCore(GateSettings settings, RandomGenerator random, EventSink events, ServiceName service, long now) {
        this.settings = settings;
        this.random = random;
        this.invariants = new Invariants(events, service.value());
        this.limit = new ConcurrencyLimit(settings, times, now);
        this.events = new GateEvents(events, service, limit.at(now), now);
        this.standing = new StandingQueueDetector(now);
        this.levels = new LevelController(now);
    }

    void reconfigure(GateSettings changed, long now, DecisionNotifications out) {
        settings = changed;
        limit.reconfigure(changed);
        admitWaiting(now, out);
    }

    void targetRestarted(long now) {
        limit.restart(now);
    }

    void submit(GateEntry entry, long now, DecisionNotifications out) {
        counts.submitted();
        levels.arrived(entry.request().rank(), entry.request().callerHash());
        if (settings.timesByKind()) {
            entry.applyKind(times, now);
        }
        if (draining) {
            refuse(entry, Reason.DRAINING, now, out);
        } else if (!canFinish(entry, now)) {
            refuse(entry, Reason.DEADLINE_PASSED, now, out);
        } else if (queue.isEmpty() && running.size() < limit.at(now)) {
            standing.markEmpty(now);
            admit(entry, now, out);
        } else {
            enqueue(entry, now, out);
        }
        advanceLevel(now);
    }

    void cancel(GateEntry entry, long now, DecisionNotifications out) {
        if (entry.state() == GateEntry.State.QUEUED) {
            queue.remove(entry);
            refuse(entry, Reason.CANCELLED, now, out);
        } else if (entry.state() == GateEntry.State.RUNNING) {
            entry.abandon();
        }
    }

    void release(GateEntry entry, Completion completion, long now, DecisionNotifications out) {
        if (!entry.holdsSlot()) {
            return;
        }
        boolean abandoned = entry.state() == GateEntry.State.ABANDONED;
        Completion effective = abandoned && completion == Completion.SUCCEEDED ? Completion.ABANDONED_DONE : completion;
        entry.end();
        running.remove(entry);
        lastProgressAt = now;
        recordCompletion(entry, effective, now);
        admitWaiting(now, out);
        advanceLevel(now);
        completeIdle(out);
    }

    void drain(long now, DecisionNotifications out) {
        draining = true;
        List<GateEntry> waiting = List.copyOf(queue);
        queue.clear();
        waiting.forEach(entry -> refuse(entry, Reason.DRAINING, now, out));
    }

    void undrain() {
        draining = false;
    }

    /** Refuses queued requests that have waited too long or can no longer finish before their deadline. */
    void expire(long now, DecisionNotifications out) {
        long allowed = standing.allowedWait(
                now, standingWaitNanos(now), settings.queueInterval().toNanos());
        List<GateEntry> expired = new ArrayList<>();
        for (GateEntry entry : queue) {
            if (!entry.fitsDeadline(times, now) || entry.waitedNanos(now) > allowed) {
                expired.add(entry);
            }
        }
        for (GateEntry entry : expired) {
            queue.remove(entry);
            boolean late = !entry.fitsDeadline(times, now);
            refuse(entry, late ? Reason.DEADLINE_PASSED : Reason.QUEUED_TOO_LONG, now, out);
        }
        admitWaiting(now, out);
        advanceLevel(now);
    }

    /**
     * Reclaims the slots of requests whose answer is overdue by more than the hold time.
     *
     * <p>A target continues to execute abandoned requests, so their slots stay taken until the target answers. But an
     * answer can be lost for good, for example on a connection that stops responding without being closed; each lost
     * answer would occupy one slot permanently, until the gate admits nothing. The hold time is far above any delay of
     * an answer that can still arrive, so even if a target is merely that slow, a slot is reused too early at most once
     * per hold time.
     */
    void reclaim(long now, DecisionNotifications out) {
        long hold = settings.abandonedHold().toNanos();
        for (GateEntry entry : List.copyOf(running)) {
            if (entry.remainingNanos(now) < -hold) {
                release(entry, Completion.FAILED, now, out);
            }
        }
    }

    boolean hasQueued() {
        return !queue.isEmpty();
    }

    boolean hasRunning() {
        return !running.isEmpty();
    }

    int level(long now) {
        advanceLevel(now);
        return levels.level();
    }

    TargetLoad load(long now, long version) {
        boolean cold = limit.at(now) < settings.bound();
        return new TargetLoad(
                version, limit.at(now), running.size(), queue.size(), (long) times.mean(), cold, draining);
    }

    GateSnapshot snapshot(long now) {
        advanceLevel(now);
        return new GateSnapshot(
                limit.at(now),
                running.size(),
                GateSnapshot.countAbandoned(running),
                GateSnapshot.countByRank(queue),
                counts.shedByRank(),
                counts.admittedTotal(),
                levels.level(),
                (long) times.min(),
                (long) times.mean(),
                draining);
    }

    /** Completes the future once no request is in flight or queued: with this notification or a later one. */
    void whenIdle(CompletableFuture<Void> future, DecisionNotifications out) {
        idleFutures.add(future);
        completeIdle(out);
    }

    private void enqueue(GateEntry entry, long now, DecisionNotifications out) {
        if (queue.isEmpty()) {
            standing.markEmpty(now);
        }
        queue.add(entry);
        admitWaiting(now, out);
        if (queue.size() > allowedQueueLength(now)) {
            refuse(queue.pollLast(), Reason.SHED_AT_TARGET, now, out);
        }
    }

    /** Returns the allowed queue length: a burst may fill the queue, a standing queue is cut. */
    private double allowedQueueLength(long now) {
        int capacity = settings.queueCapacity();
        if (!standing.isStanding(now, settings.queueInterval().toNanos())) {
            return capacity;
        }
        return Math.min(capacity, Math.max(MIN_BOUND, load(now).bound()));
    }

    private void admitWaiting(long now, DecisionNotifications out) {
        while (!queue.isEmpty() && running.size() < limit.at(now)) {
            GateEntry entry = queue.pollFirst();
            if (canFinish(entry, now)) {
                admit(entry, now, out);
            } else {
                refuse(entry, Reason.DEADLINE_PASSED, now, out);
            }
        }
        if (queue.isEmpty()) {
            standing.markEmpty(now);
        }
    }

    /** With nothing in flight, any request with time left may run, to measure how long the target takes now. */
    private boolean canFinish(GateEntry entry, long now) {
        return running.isEmpty() ? entry.remainingNanos(now) > 0 : entry.fitsDeadline(times, now);
    }

    private void admit(GateEntry entry, long now, DecisionNotifications out) {
        checkAdmission(entry, now);
        if (running.isEmpty()) {
            lastProgressAt = now;
        }
        entry.admit(now);
        running.add(entry);
        limit.admitted(running.size());
        counts.admitted();
        out.add(entry);
    }

    private void checkAdmission(GateEntry entry, long now) {
        int slots = settings.announcedSlots();
        invariants.check(running.size() < limit.at(now), "an admission above the limit");
        invariants.check(slots == 0 || running.size() < slots, "an admission above the announced slots");
        invariants.check(!draining, "an admission while draining");
        invariants.check(entry.state() == GateEntry.State.QUEUED, "an admission of a decided request");
        invariants.check(
                queue.isEmpty()
                        || queue.first().request().rank() >= entry.request().rank(),
                "an admission before a more important request");
    }

    /** Refuses an entry that is not or no longer in the queue. */
    private void refuse(GateEntry entry, Reason reason, long now, DecisionNotifications out) {
        invariants.check(entry.state() == GateEntry.State.QUEUED, "a refusal of a decided request");
        counts.refused(entry.request().rank(), reason);
        events.refused(entry, reason, now);
        entry.refuse(reason, reason == Reason.CANCELLED ? 0 : RetryAfter.millis(random));
        out.add(entry);
        completeIdle(out);
    }

    private void recordCompletion(GateEntry entry, Completion completion, long now) {
        long took = entry.runNanos(now);
        if (completion == Completion.SUCCEEDED || completion == Completion.ABANDONED_DONE) {
            times.add(entry.kind(), took, now);
        }
        limit.completed(completion, took, now);
        events.limit(limit.at(now), now);
    }

    private void advanceLevel(long now) {
        if (levels.due(now)) {
            invariants.check(counts.balanced(queue.size()), "requests submitted are not those decided and waiting");
            levels.advance(now, load(now));
            events.level(levels.level(), now);
        }
    }

    private LevelController.Load load(long now) {
        return LevelController.Load.of(
                limit.at(now), running.size(), queue.size(), times.expected(now), now - lastProgressAt);
    }

    /**
     * Returns the allowed wait in a standing queue. The queue of a target with slow or few slots advances one place at
     * a time, so a wait of a few such moves does not indicate a standing queue.
     */
    private long standingWaitNanos(long now) {
        return Math.max(settings.queueTarget().toNanos(), (long) load(now).waitNanos());
    }

    private void completeIdle(DecisionNotifications out) {
        if (running.isEmpty() && queue.isEmpty() && !idleFutures.isEmpty()) {
            out.addIdle(List.copyOf(idleFutures));
            idleFutures.clear();
        }
    }
}
