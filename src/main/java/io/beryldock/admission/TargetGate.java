package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Admission at the node of one target: which request runs now, waits a short time or is refused.
 *
 * <p>Invariants: never more in flight than the announced slots; each submitted request hears exactly one decision; a
 * refused request was never admitted; after {@link #drain} nothing is admitted. Thread safe; listeners are called
 * without the lock.
 */
public final class TargetGate {

    private static final int RETRY_AFTER_MIN_MILLIS = 500;
    private static final int RETRY_AFTER_SPREAD_MILLIS = 1_500;
    private static final Duration TICK = Duration.ofMillis(10);

    private final Object lock = new Object();
    private final TimerService timers;
    private final RandomGenerator random;
    private final EventSink events;
    private final ServiceName service;
    private final TreeSet<Entry> queue = new TreeSet<>(Comparator.<Entry>comparingInt(entry -> entry.request.rank())
            .thenComparing(entry -> -entry.request.sunkNanos())
            .thenComparing(entry -> entry.deadline)
            .thenComparing(entry -> entry.order));
    private final List<Map<Reason, Long>> shed = new ArrayList<>();
    private final List<CompletableFuture<Void>> waitingForIdle = new ArrayList<>();
    private GateSettings settings;
    private boolean draining;
    private boolean ticking;
    private int inFlight;
    private int abandoned;
    private long order;
    private long admitted;
    private double meanNanos;
    private long minNanos;

    private TargetGate(
            GateSettings settings, TimerService timers, RandomGenerator random, EventSink events, ServiceName service) {
        this.settings = settings;
        this.timers = timers;
        this.random = random;
        this.events = events;
        this.service = service;
        for (int rank = 0; rank < PriorityClass.RANKS; rank++) {
            shed.add(new EnumMap<>(Reason.class));
        }
    }

    public static TargetGate create(
            GateSettings settings, TimerService timers, RandomGenerator random, EventSink events, ServiceName service) {
        return new TargetGate(settings, timers, random, events, service);
    }

    /** Takes new settings, for example announced slots; what runs goes on. */
    public void reconfigure(GateSettings changed) {
        List<Runnable> calls = new ArrayList<>();
        synchronized (lock) {
            settings = changed;
            admitWaiting(calls);
        }
        calls.forEach(Runnable::run);
    }

    /** Decides over the request now or a short time later; the listener hears it exactly once. */
    public GateHandle submit(GateRequest request, GateListener listener) {
        List<Runnable> calls = new ArrayList<>();
        Entry entry;
        synchronized (lock) {
            entry = new Entry(request, listener, timers.ticker().nanos(), order++);
            arrive(entry, calls);
        }
        calls.forEach(Runnable::run);
        return () -> cancel(entry);
    }

    /** Admits nothing more; what waits is refused, what runs goes on. */
    public void drain() {
        List<Runnable> calls = new ArrayList<>();
        synchronized (lock) {
            draining = true;
            for (Entry entry : List.copyOf(queue)) {
                refuse(entry, Reason.DRAINING, calls);
            }
        }
        calls.forEach(Runnable::run);
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
            return levelNow();
        }
    }

    public GateSnapshot snapshot() {
        synchronized (lock) {
            int[] queued = new int[PriorityClass.RANKS];
            queue.forEach(entry -> queued[entry.request.rank()]++);
            ImmutableList.Builder<Integer> byRank = ImmutableList.builder();
            for (int count : queued) {
                byRank.add(count);
            }
            return new GateSnapshot(
                    limit(),
                    inFlight,
                    abandoned,
                    byRank.build(),
                    shed.stream().map(ImmutableMap::copyOf).collect(ImmutableList.toImmutableList()),
                    admitted,
                    levelNow(),
                    minNanos,
                    (long) meanNanos,
                    draining);
        }
    }

    /** Completes when nothing is in flight or waits; for a planned stop, after {@link #drain}. */
    public CompletableFuture<Void> idle() {
        CompletableFuture<Void> future = new CompletableFuture<>();
        synchronized (lock) {
            if (inFlight > 0 || !queue.isEmpty()) {
                waitingForIdle.add(future);
                return future;
            }
        }
        future.complete(null);
        return future;
    }

    private void arrive(Entry entry, List<Runnable> calls) {
        if (draining) {
            refuse(entry, Reason.DRAINING, calls);
        } else if (entry.request.remainingNanos() <= 0) {
            refuse(entry, Reason.DEADLINE_PASSED, calls);
        } else {
            queue.add(entry);
            admitWaiting(calls);
            if (queue.size() > settings.queueCapacity()) {
                refuse(queue.last(), Reason.SHED_AT_TARGET, calls);
            }
            armTick();
        }
    }

    private void admitWaiting(List<Runnable> calls) {
        long now = timers.ticker().nanos();
        while (!queue.isEmpty() && inFlight < limit() && !draining) {
            Entry entry = queue.first();
            if (entry.deadline - now <= (long) meanNanos && inFlight > 0) {
                refuse(entry, Reason.DEADLINE_PASSED, calls);
                continue;
            }
            queue.remove(entry);
            entry.state = State.RUNNING;
            entry.admittedAt = now;
            inFlight++;
            admitted++;
            calls.add(() -> entry.listener.admitted(completion -> release(entry, completion)));
        }
    }

    private void refuse(Entry entry, Reason reason, List<Runnable> calls) {
        queue.remove(entry);
        entry.state = State.ENDED;
        shed.get(entry.request.rank()).merge(reason, 1L, Long::sum);
        long retryAfter = (long) RETRY_AFTER_MIN_MILLIS + random.nextInt(RETRY_AFTER_SPREAD_MILLIS);
        calls.add(() -> {
            events.record(EventKind.SHED_AT_TARGET, Optional.of(entry.request.id()), service.value(), reason.message());
            entry.listener.refused(reason, reason == Reason.CANCELLED ? 0 : retryAfter);
        });
        completeIdle(calls);
    }

    private void release(Entry entry, Completion completion) {
        List<Runnable> calls = new ArrayList<>();
        synchronized (lock) {
            if (entry.state == State.ENDED) {
                return;
            }
            if (entry.state == State.ABANDONED) {
                abandoned--;
            }
            entry.state = State.ENDED;
            inFlight--;
            if (completion == Completion.SUCCEEDED || completion == Completion.ABANDONED_DONE) {
                learn(timers.ticker().nanos() - entry.admittedAt);
            }
            admitWaiting(calls);
            completeIdle(calls);
        }
        calls.forEach(Runnable::run);
    }

    private void cancel(Entry entry) {
        List<Runnable> calls = new ArrayList<>();
        synchronized (lock) {
            if (entry.state == State.QUEUED) {
                refuse(entry, Reason.CANCELLED, calls);
            } else if (entry.state == State.RUNNING) {
                entry.state = State.ABANDONED;
                abandoned++;
            }
        }
        calls.forEach(Runnable::run);
    }

    private void learn(long serviceNanos) {
        meanNanos = meanNanos == 0 ? serviceNanos : meanNanos + (serviceNanos - meanNanos) / 16;
        minNanos = minNanos == 0 ? serviceNanos : Math.min(minNanos, serviceNanos);
    }

    private void armTick() {
        if (!ticking && !queue.isEmpty()) {
            ticking = true;
            timers.after(TICK, this::tick);
        }
    }

    private void tick() {
        List<Runnable> calls = new ArrayList<>();
        synchronized (lock) {
            ticking = false;
            long now = timers.ticker().nanos();
            long longest = settings.queueInterval().toNanos();
            for (Entry entry : List.copyOf(queue)) {
                if (entry.deadline - now <= 0) {
                    refuse(entry, Reason.DEADLINE_PASSED, calls);
                } else if (now - entry.arrivedAt > longest) {
                    refuse(entry, Reason.QUEUED_TOO_LONG, calls);
                }
            }
            armTick();
        }
        calls.forEach(Runnable::run);
    }

    private void completeIdle(List<Runnable> calls) {
        if (inFlight == 0 && queue.isEmpty() && !waitingForIdle.isEmpty()) {
            List<CompletableFuture<Void>> done = List.copyOf(waitingForIdle);
            waitingForIdle.clear();
            calls.add(() -> done.forEach(future -> future.complete(null)));
        }
    }

    private int limit() {
        int slots = settings.announcedSlots();
        return slots > 0 ? Math.min(slots, settings.maxLimit()) : settings.initialLimit();
    }

    private int levelNow() {
        int capacity = Math.max(1, settings.queueCapacity());
        return ServiceLevel.OPEN - ServiceLevel.OPEN * Math.min(queue.size(), capacity) / (2 * capacity);
    }

    private enum State {
        QUEUED,
        RUNNING,
        ABANDONED,
        ENDED
    }

    private static final class Entry {
        private final GateRequest request;
        private final GateListener listener;
        private final long arrivedAt;
        private final long deadline;
        private final long order;
        private State state = State.QUEUED;
        private long admittedAt;

        Entry(GateRequest request, GateListener listener, long now, long order) {
            this.request = request;
            this.listener = listener;
            this.arrivedAt = now;
            this.deadline = now + request.remainingNanos();
            this.order = order;
        }
    }
}
