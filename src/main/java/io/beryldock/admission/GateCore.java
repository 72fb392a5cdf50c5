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
 * The decisions of one target's gate: a pure function of its state, the event and the time.
 *
 * <p>Invariants, asserted where they could break: an admission never brings more in flight than the limit, hence than
 * the announced slots; each submitted request is decided once; a refused one was never admitted; nothing is admitted
 * while draining; none is admitted while a more important one waits. Guarded by the gate's lock.
 */
final class GateCore {

    private static final double MIN_BOUND = 4;

    private final RandomGenerator random;
    private final Invariants invariants;
    private final GateEvents events;
    private final ServiceTimes times = new ServiceTimes();
    private final ConcurrencyLimit limit;
    private final StandingQueue standing;
    private final LevelController levels;
    private final GateCounts counts = new GateCounts();
    private final TreeSet<GateEntry> queue = new TreeSet<>(GateEntry.BY_IMPORTANCE);
    private final Set<GateEntry> running = new HashSet<>();
    private final List<CompletableFuture<Void>> waitingForIdle = new ArrayList<>();
    private GateSettings settings;
    private boolean draining;
    private long progressAt;

    GateCore(GateSettings settings, RandomGenerator random, EventSink events, ServiceName service, long now) {
        this.settings = settings;
        this.random = random;
        this.invariants = new Invariants(events, service.value());
        this.limit = new ConcurrencyLimit(settings, times, now);
        this.events = new GateEvents(events, service, limit.at(now), now);
        this.standing = new StandingQueue(now);
        this.levels = new LevelController(now);
    }

    void reconfigure(GateSettings changed, long now, Deliveries out) {
        settings = changed;
        limit.reconfigure(changed);
        admitWaiting(now, out);
    }

    void targetRestarted(long now) {
        limit.restart(now);
    }

    void submit(GateEntry entry, long now, Deliveries out) {
        counts.submitted();
        levels.arrived(entry.request().rank(), entry.request().callerHash());
        if (settings.timesByKind()) {
            entry.learnKind(times, now);
        }
        if (draining) {
            refuse(entry, Reason.DRAINING, now, out);
        } else if (!canFinish(entry, now)) {
            refuse(entry, Reason.DEADLINE_PASSED, now, out);
        } else if (queue.isEmpty() && running.size() < limit.at(now)) {
            standing.empty(now);
            admit(entry, now, out);
        } else {
            enqueue(entry, now, out);
        }
        advanceLevel(now);
    }

    void cancel(GateEntry entry, long now, Deliveries out) {
        if (entry.state() == GateEntry.State.QUEUED) {
            queue.remove(entry);
            refuse(entry, Reason.CANCELLED, now, out);
        } else if (entry.state() == GateEntry.State.RUNNING) {
            entry.abandon();
        }
    }

    void release(GateEntry entry, Completion completion, long now, Deliveries out) {
        if (!entry.holdsSlot()) {
            return;
        }
        boolean abandoned = entry.state() == GateEntry.State.ABANDONED;
        Completion counted = abandoned && completion == Completion.SUCCEEDED ? Completion.ABANDONED_DONE : completion;
        entry.end();
        running.remove(entry);
        progressAt = now;
        learn(entry, counted, now);
        admitWaiting(now, out);
        advanceLevel(now);
        completeIdle(out);
    }

    void drain(long now, Deliveries out) {
        draining = true;
        List<GateEntry> waiting = List.copyOf(queue);
        queue.clear();
        waiting.forEach(entry -> refuse(entry, Reason.DRAINING, now, out));
    }

    void undrain() {
        draining = false;
    }

    /** Refuses what has waited too long or can no longer finish. */
    void expire(long now, Deliveries out) {
        long allowed = standing.allowedWait(
                now, targetNanos(now), settings.queueInterval().toNanos());
        List<GateEntry> expired = new ArrayList<>();
        for (GateEntry entry : queue) {
            if (!entry.fitsItsTime(times, now) || entry.waitedNanos(now) > allowed) {
                expired.add(entry);
            }
        }
        for (GateEntry entry : expired) {
            queue.remove(entry);
            boolean late = !entry.fitsItsTime(times, now);
            refuse(entry, late ? Reason.DEADLINE_PASSED : Reason.QUEUED_TOO_LONG, now, out);
        }
        admitWaiting(now, out);
        advanceLevel(now);
    }

    /**
     * Takes back the slots of requests whose answer is overdue by the hold time.
     *
     * <p>Work that was given up goes on at the target, so its slot stays taken until the answer. But an answer can be
     * lost for good, with a connection that went silent; each such loss would take one slot for ever, until the gate
     * admits nothing. The hold time is far above any answer still to be expected, so at most one slot a hold time can
     * be given out twice for a target that is merely that slow.
     */
    void reclaim(long now, Deliveries out) {
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

    /** Completes the future once nothing is in flight or waits, now or with a later delivery. */
    void whenIdle(CompletableFuture<Void> future, Deliveries out) {
        waitingForIdle.add(future);
        completeIdle(out);
    }

    private void enqueue(GateEntry entry, long now, Deliveries out) {
        if (queue.isEmpty()) {
            standing.empty(now);
        }
        queue.add(entry);
        admitWaiting(now, out);
        if (queue.size() > bound(now)) {
            refuse(queue.pollLast(), Reason.SHED_AT_TARGET, now, out);
        }
    }

    /** A burst may fill the queue, a standing queue is cut. */
    private double bound(long now) {
        int capacity = settings.queueCapacity();
        if (!standing.stands(now, settings.queueInterval().toNanos())) {
            return capacity;
        }
        return Math.min(capacity, Math.max(MIN_BOUND, load(now).bound()));
    }

    private void admitWaiting(long now, Deliveries out) {
        while (!queue.isEmpty() && running.size() < limit.at(now)) {
            GateEntry entry = queue.pollFirst();
            if (canFinish(entry, now)) {
                admit(entry, now, out);
            } else {
                refuse(entry, Reason.DEADLINE_PASSED, now, out);
            }
        }
        if (queue.isEmpty()) {
            standing.empty(now);
        }
    }

    /** With nothing in flight any request that has time left may show how long the target now takes. */
    private boolean canFinish(GateEntry entry, long now) {
        return running.isEmpty() ? entry.remainingNanos(now) > 0 : entry.fitsItsTime(times, now);
    }

    private void admit(GateEntry entry, long now, Deliveries out) {
        checkAdmission(entry, now);
        if (running.isEmpty()) {
            progressAt = now;
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

    /** The entry has left the queue or never was in it. */
    private void refuse(GateEntry entry, Reason reason, long now, Deliveries out) {
        invariants.check(entry.state() == GateEntry.State.QUEUED, "a refusal of a decided request");
        counts.refused(entry.request().rank(), reason);
        events.refused(entry, reason, now);
        entry.refuse(reason, reason == Reason.CANCELLED ? 0 : RetryAfter.millis(random));
        out.add(entry);
        completeIdle(out);
    }

    private void learn(GateEntry entry, Completion completion, long now) {
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
                limit.at(now), running.size(), queue.size(), times.expected(now), now - progressAt);
    }

    /** A queue before slow or few slots moves one place at a time; a wait of a few such moves is no standing queue. */
    private long targetNanos(long now) {
        return Math.max(settings.queueTarget().toNanos(), (long) load(now).waitNanos());
    }

    private void completeIdle(Deliveries out) {
        if (running.isEmpty() && queue.isEmpty() && !waitingForIdle.isEmpty()) {
            out.addIdle(List.copyOf(waitingForIdle));
            waitingForIdle.clear();
        }
    }
}
