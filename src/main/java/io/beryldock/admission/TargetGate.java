package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Admission at the node of one target: which request runs now, waits or is refused.
 *
 * <p>Invariants, asserted where they could break: an admission never brings more in flight than the limit, hence than the
 * announced slots; each submitted request hears exactly one decision; a refused request was never admitted; nothing is
 * admitted while draining; no request is admitted while a more important one waits that can still finish.
 *
 * <p>Thread safe by one short lock; listeners are called without it. An idle gate has no timer.
 */
public final class TargetGate {

    private static final double MIN_BOUND = 4;
    private static final double STALL_GAPS = 4;
    private static final double LOOP_BASE_NANOS = 60_000_000;
    private static final double LOOP_PER_SERVICE_TIME = 2;
    private static final Duration QUEUE_TICK = Duration.ofMillis(5);
    private static final Duration HOLD_TICK = Duration.ofSeconds(1);

    private final Object lock = new Object();
    private final TimerService timers;
    private final Ticker ticker;
    private final RandomGenerator random;
    private final EventSink events;
    private final ServiceName service;
    private final Invariants invariants;
    private final ServiceTimes times = new ServiceTimes();
    private final ConcurrencyLimit limit;
    private final StandingQueue standing;
    private final LevelController levels;
    private final GateCounts counts = new GateCounts();
    private final TreeSet<GateEntry> queue = new TreeSet<>(GateEntry.BY_IMPORTANCE);
    private final Set<GateEntry> running = new LinkedHashSet<>();
    private final List<CompletableFuture<Void>> waitingForIdle = new ArrayList<>();
    private GateSettings settings;
    private boolean draining;
    private boolean queueTicking;
    private boolean holdTicking;
    private long order;
    private long progressAt;

    private TargetGate(
            GateSettings settings, TimerService timers, RandomGenerator random, EventSink events, ServiceName service) {
        this.settings = settings;
        this.timers = timers;
        this.ticker = timers.ticker();
        this.random = random;
        this.events = events;
        this.service = service;
        this.invariants = new Invariants(events, service.value());
        long now = ticker.nanos();
        this.limit = new ConcurrencyLimit(settings, times, now);
        this.standing = new StandingQueue(now);
        this.levels = new LevelController(now);
    }

    public static TargetGate create(
            GateSettings settings, TimerService timers, RandomGenerator random, EventSink events, ServiceName service) {
        return new TargetGate(settings, timers, random, events, service);
    }

    /** Takes new settings, for example announced slots; what runs goes on. */
    public void reconfigure(GateSettings changed) {
        Deliveries out = new Deliveries();
        synchronized (lock) {
            settings = changed;
            limit.reconfigure(changed);
            admitWaiting(ticker.nanos(), out);
        }
        out.deliver();
    }

    /** The target has started anew and is cold. */
    public void targetRestarted() {
        synchronized (lock) {
            limit.restart(ticker.nanos());
        }
    }

    /** Decides over the request now or a short time later; the listener hears it exactly once. */
    public GateHandle submit(GateRequest request, GateListener listener) {
        Deliveries out = new Deliveries();
        GateEntry entry;
        synchronized (lock) {
            long now = ticker.nanos();
            entry = new GateEntry(this, request, listener, now, order++);
            counts.submitted();
            levels.arrived(request.rank(), request.callerHash());
            arrive(entry, now, out);
            advanceLevel(now);
        }
        out.deliver();
        return entry;
    }

    /** Admits nothing more; what waits is refused, what runs goes on. */
    public void drain() {
        Deliveries out = new Deliveries();
        synchronized (lock) {
            draining = true;
            List.copyOf(queue).forEach(entry -> refuse(entry, Reason.DRAINING, out));
        }
        out.deliver();
    }

    /** Admits again. */
    public void undrain() {
        synchronized (lock) {
            draining = false;
        }
    }

    /** Admission level on the scale of {@link ServiceLevel}. */
    public int level() {
        synchronized (lock) {
            advanceLevel(ticker.nanos());
            return levels.level();
        }
    }

    public GateSnapshot snapshot() {
        synchronized (lock) {
            long now = ticker.nanos();
            advanceLevel(now);
            int abandoned = (int) running.stream()
                    .filter(entry -> entry.state() == GateEntry.State.ABANDONED)
                    .count();
            return new GateSnapshot(
                    limit.at(now),
                    running.size(),
                    abandoned,
                    queuedByRank(),
                    counts.shedByRank(),
                    counts.admittedTotal(),
                    levels.level(),
                    (long) times.min(),
                    (long) times.mean(),
                    draining);
        }
    }

    /** Completes when nothing is in flight or waits; for a planned stop, after {@link #drain}. */
    public CompletableFuture<Void> idle() {
        CompletableFuture<Void> future = new CompletableFuture<>();
        synchronized (lock) {
            if (!running.isEmpty() || !queue.isEmpty()) {
                waitingForIdle.add(future);
                return future;
            }
        }
        future.complete(null);
        return future;
    }

    void cancel(GateEntry entry) {
        Deliveries out = new Deliveries();
        synchronized (lock) {
            if (entry.state() == GateEntry.State.QUEUED) {
                refuse(entry, Reason.CANCELLED, out);
            } else if (entry.state() == GateEntry.State.RUNNING) {
                entry.abandon();
            }
        }
        out.deliver();
    }

    void release(GateEntry entry, Completion completion) {
        Deliveries out = new Deliveries();
        synchronized (lock) {
            if (!entry.holdsSlot()) {
                return;
            }
            long now = ticker.nanos();
            free(entry, completion, now, out);
            advanceLevel(now);
        }
        out.deliver();
    }

    private void arrive(GateEntry entry, long now, Deliveries out) {
        if (draining) {
            refuse(entry, Reason.DRAINING, out);
            return;
        }
        if (queue.isEmpty()) {
            standing.empty(now);
        }
        queue.add(entry);
        admitWaiting(now, out);
        if (queue.size() > bound(now)) {
            refuse(queue.last(), Reason.SHED_AT_TARGET, out);
        }
        armQueueTick();
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
        while (!queue.isEmpty() && running.size() < limit.at(now) && !draining) {
            GateEntry entry = queue.first();
            if (canFinish(entry, now)) {
                admit(entry, now, out);
            } else {
                refuse(entry, Reason.DEADLINE_PASSED, out);
            }
        }
        if (queue.isEmpty()) {
            standing.empty(now);
        }
    }

    /** With nothing in flight any request that has time left may show how long the target now takes. */
    private boolean canFinish(GateEntry entry, long now) {
        long left = entry.remainingNanos(now);
        return running.isEmpty() ? left > 0 : left > times.expected(now);
    }

    private void admit(GateEntry entry, long now, Deliveries out) {
        queue.remove(entry);
        checkAdmission(entry, now);
        if (running.isEmpty()) {
            progressAt = now;
        }
        entry.admit(now);
        running.add(entry);
        limit.admitted(running.size());
        counts.admitted();
        out.add(entry::tellAdmitted);
        armHoldTick();
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

    private void refuse(GateEntry entry, Reason reason, Deliveries out) {
        invariants.check(entry.state() == GateEntry.State.QUEUED, "a refusal of a decided request");
        queue.remove(entry);
        entry.end();
        counts.refused(entry.request().rank(), reason);
        invariants.check(counts.balanced(queue.size()), "requests submitted are not those decided and waiting");
        long retryAfter = reason == Reason.CANCELLED ? 0 : RetryAfter.millis(random);
        out.add(() -> {
            events.record(
                    EventKind.SHED_AT_TARGET, Optional.of(entry.request().id()), service.value(), reason.message());
            entry.tellRefused(reason, retryAfter);
        });
        completeIdle(out);
    }

    private void free(GateEntry entry, Completion completion, long now, Deliveries out) {
        Completion counted = entry.state() == GateEntry.State.ABANDONED && completion == Completion.SUCCEEDED
                ? Completion.ABANDONED_DONE
                : completion;
        entry.end();
        running.remove(entry);
        progressAt = now;
        long took = entry.runNanos(now);
        if (counted == Completion.SUCCEEDED || counted == Completion.ABANDONED_DONE) {
            times.add(took, now);
        }
        limit.completed(counted, took, now);
        admitWaiting(now, out);
        completeIdle(out);
    }

    private void advanceLevel(long now) {
        if (levels.due(now)) {
            levels.advance(now, load(now));
        }
    }

    private LevelController.Load load(long now) {
        int slots = limit.at(now);
        double mean = Math.max(1, times.expected(now));
        double capacity = slots / mean;
        if (running.size() >= slots) {
            // A target that hangs ends nothing, so no service time shows it; the lack of several ends does.
            capacity = Math.min(capacity, STALL_GAPS / Math.max(1, now - progressAt));
        }
        double busy = (double) running.size() / slots;
        return new LevelController.Load(capacity, queue.size(), busy, LOOP_BASE_NANOS + LOOP_PER_SERVICE_TIME * mean);
    }

    private void armQueueTick() {
        if (!queueTicking && !queue.isEmpty()) {
            queueTicking = true;
            timers.after(QUEUE_TICK, this::queueTick);
        }
    }

    private void queueTick() {
        Deliveries out = new Deliveries();
        synchronized (lock) {
            queueTicking = false;
            long now = ticker.nanos();
            expire(now, out);
            admitWaiting(now, out);
            advanceLevel(now);
            armQueueTick();
        }
        out.deliver();
    }

    private void expire(long now, Deliveries out) {
        long allowed = standing.allowedWait(
                now, targetNanos(now), settings.queueInterval().toNanos());
        double expected = times.expected(now);
        for (GateEntry entry : List.copyOf(queue)) {
            if (entry.remainingNanos(now) <= expected) {
                refuse(entry, Reason.DEADLINE_PASSED, out);
            } else if (entry.waitedNanos(now) > allowed) {
                refuse(entry, Reason.QUEUED_TOO_LONG, out);
            }
        }
    }

    /** A queue before slow or few slots moves one place at a time; a wait of a few such moves is no standing queue. */
    private long targetNanos(long now) {
        return Math.max(settings.queueTarget().toNanos(), (long) load(now).waitNanos());
    }

    private void armHoldTick() {
        if (!holdTicking && !running.isEmpty()) {
            holdTicking = true;
            timers.after(HOLD_TICK, this::holdTick);
        }
    }

    private void holdTick() {
        Deliveries out = new Deliveries();
        synchronized (lock) {
            holdTicking = false;
            long now = ticker.nanos();
            long hold = settings.abandonedHold().toNanos();
            for (GateEntry entry : List.copyOf(running)) {
                if (entry.remainingNanos(now) < -hold) {
                    free(entry, Completion.FAILED, now, out);
                }
            }
            armHoldTick();
        }
        out.deliver();
    }

    private void completeIdle(Deliveries out) {
        if (running.isEmpty() && queue.isEmpty() && !waitingForIdle.isEmpty()) {
            List<CompletableFuture<Void>> done = List.copyOf(waitingForIdle);
            waitingForIdle.clear();
            out.add(() -> done.forEach(future -> future.complete(null)));
        }
    }

    private ImmutableList<Integer> queuedByRank() {
        Integer[] queued = new Integer[PriorityClass.RANKS];
        Arrays.fill(queued, 0);
        queue.forEach(entry -> queued[entry.request().rank()]++);
        return ImmutableList.copyOf(queued);
    }
}
