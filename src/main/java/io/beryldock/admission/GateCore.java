package io.beryldock.admission;

import io.beryldock.call.Reason;
import io.beryldock.call.ServiceName;
import io.beryldock.call.StartNotice;
import io.beryldock.call.TargetLoad;
import io.beryldock.call.TargetNotice;
import io.beryldock.timeline.EventSink;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Decision logic of one target's gate: a pure function of its state, the event and the time.
 *
 * <p>Invariants, checked where they could be violated: an admission never raises the number of requests in flight above
 * the limit, and thus never above the announced slots; no admission exceeds the rate that the target names; each
 * submitted request is decided exactly once; a refused request was never admitted; nothing is admitted while draining,
 * and draining never ends once the target has said that it is leaving; no request is admitted while a more important
 * one is queued. Guarded by the gate's lock.
 */
final class GateCore {

    private static final double MIN_BOUND = 4;

    private final RandomGenerator random;
    private final Invariants invariants;
    private final GateEvents events;
    private final ServiceTimes times = new ServiceTimes();
    private final String start;
    private final ConcurrencyLimit limit;
    private final RequestRateLimit rate;
    private final StandingQueueDetector standing;
    private final LevelController levels;
    private final GateCounts counts = new GateCounts();
    private final TreeSet<GateEntry> queue = new TreeSet<>(GateEntry.BY_IMPORTANCE);
    private final Set<GateEntry> running = new HashSet<>();
    private final List<CompletableFuture<Void>> idleFutures = new ArrayList<>();
    private final CompletableFuture<Void> leavingFuture = new CompletableFuture<>();
    private GateSettings settings;
    private boolean draining;
    private boolean leaving;
    private long lastProgressAt;

    GateCore(
            GateSettings settings,
            RandomGenerator random,
            EventSink events,
            ServiceName service,
            String start,
            long now) {
        this.settings = settings;
        this.start = start;
        this.random = random;
        this.invariants = new Invariants(events, service.value());
        this.limit = new ConcurrencyLimit(settings, times, now);
        this.rate = new RequestRateLimit(now);
        this.events = new GateEvents(events, service, start, limit.at(now), now);
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

    /** Applies what an answer to a request sent at the given time says about the target. */
    void onNotice(TargetNotice notice, long sentAt, long now, DecisionNotifications out) {
        apply(rate.onAnswer(notice.ratePerSecond(), sentAt, now), notice.leaving(), now, out);
    }

    /** Applies what another node was told by answers of the target; ignored if it concerns another start. */
    void onPeerNotice(StartNotice notice, long now, DecisionNotifications out) {
        if (notice.start().equals(start)) {
            apply(rate.onPeerReport(notice.ratePerSecond(), now), notice.leaving(), now, out);
        }
    }

    private void apply(boolean rateChanged, boolean saysLeaving, long now, DecisionNotifications out) {
        if (rateChanged) {
            events.rate(rate.ratePerSecond(), now);
            admitWaiting(now, out);
        }
        if (saysLeaving) {
            leave(now, out);
        }
    }

    private void leave(long now, DecisionNotifications out) {
        if (leaving) {
            return;
        }
        leaving = true;
        events.leaving();
        drain(now, out);
        out.addCompleted(List.of(leavingFuture));
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
        } else if (queue.isEmpty() && hasRoom(now)) {
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
        draining = leaving;
    }

    boolean isDraining() {
        return draining;
    }

    /** Returns a future that completes when the target has said that it is leaving. */
    CompletableFuture<Void> leavingFuture() {
        return leavingFuture;
    }

    /** Refuses queued requests that have waited too long or can no longer finish before their deadline. */
    void expire(long now, DecisionNotifications out) {
        long allowed = allowedWait(now);
        List<GateEntry> expired = new ArrayList<>();
        for (GateEntry entry : queue) {
            if (!entry.fitsDeadline(times, now) || entry.waitedNanos(now) > allowed) {
                expired.add(entry);
            }
        }
        for (GateEntry entry : expired) {
            queue.remove(entry);
            boolean late = !entry.fitsDeadline(times, now);
            refuse(entry, late ? Reason.DEADLINE_PASSED : shortage(Reason.QUEUED_TOO_LONG, now), now, out);
        }
        admitWaiting(now, out);
        advanceLevel(now);
    }

    /** Returns the allowed wait. Requests wait only briefly for the rate, because other targets may have room. */
    private long allowedWait(long now) {
        long interval = settings.queueInterval().toNanos();
        long allowed = standing.allowedWait(now, standingWaitNanos(now), interval);
        return rate.permits(now) ? allowed : Math.min(allowed, interval);
    }

    /** Returns the reason of a refusal for lack of room: the rate if the target has used it up. */
    private Reason shortage(Reason otherwise, long now) {
        return rate.permits(now) ? otherwise : Reason.RATE_LIMITED;
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
                version,
                sustainableLimit(now),
                running.size(),
                queue.size(),
                (long) times.mean(),
                cold,
                draining,
                rate.tokens(now),
                startNotice());
    }

    /** Returns the concurrency that the rate sustains by Little's law, at most the limit. */
    private int sustainableLimit(long now) {
        int slots = limit.at(now);
        boolean bounded = rate.isLimited() && times.mean() > 0;
        return bounded ? (int) Math.max(1, Math.min(slots, Math.ceil(rate.perNano() * times.mean()))) : slots;
    }

    /** Returns what answers have said in this start; empty as long as none has named anything. */
    private Optional<StartNotice> startNotice() {
        boolean named = !start.isEmpty() && (rate.isLimited() || leaving);
        return named ? Optional.of(new StartNotice(start, rate.ratePerSecond(), leaving)) : Optional.empty();
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
                draining,
                leaving,
                rate.ratePerSecond());
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
        while (queue.size() > allowedQueueLength(now)) {
            refuse(queue.pollLast(), shortage(Reason.SHED_AT_TARGET, now), now, out);
        }
    }

    /**
     * Returns the allowed queue length: a burst may fill the queue, a standing queue is cut. No more requests wait for
     * the rate than it admits within the allowed wait, since the others can be served elsewhere meanwhile.
     */
    private double allowedQueueLength(long now) {
        int capacity = settings.queueCapacity();
        if (!rate.permits(now)) {
            return Math.min(
                    capacity,
                    Math.max(1, rate.perNano() * settings.queueInterval().toNanos()));
        }
        if (!standing.isStanding(now, settings.queueInterval().toNanos())) {
            return capacity;
        }
        return Math.min(capacity, Math.max(MIN_BOUND, load(now).bound()));
    }

    private void admitWaiting(long now, DecisionNotifications out) {
        while (!queue.isEmpty() && hasRoom(now)) {
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

    private boolean hasRoom(long now) {
        return running.size() < limit.at(now) && rate.permits(now);
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
        rate.admitted(now);
        counts.admitted();
        out.add(entry);
    }

    private void checkAdmission(GateEntry entry, long now) {
        int slots = settings.announcedSlots();
        invariants.check(running.size() < limit.at(now), "an admission above the limit");
        invariants.check(rate.permits(now), "an admission above the rate limit");
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
        entry.refuse(reason, retryAfterMillis(reason, now));
        out.add(entry);
        completeIdle(out);
    }

    private long retryAfterMillis(Reason reason, long now) {
        return switch (reason) {
            case CANCELLED -> 0;
            case RATE_LIMITED -> rate.waitMillis(queue.size(), now) + RetryAfter.millis(random);
            default -> RetryAfter.millis(random);
        };
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
        LevelController.Load load = LevelController.Load.of(
                limit.at(now), running.size(), queue.size(), times.expected(now), now - lastProgressAt);
        return rate.isLimited() ? load.atRate(rate.perNano(), !rate.permits(now)) : load;
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
            out.addCompleted(idleFutures);
            idleFutures.clear();
        }
    }
}
