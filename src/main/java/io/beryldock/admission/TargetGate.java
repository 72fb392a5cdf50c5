package io.beryldock.admission;

import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.call.TargetLoad;
import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Admission at the node of one target: which request runs now, waits or is refused.
 *
 * <p>Invariants: never more in flight by its admissions than the announced slots; each submitted request hears exactly
 * one decision; a refused request was never admitted; nothing is admitted while draining; no request is admitted while
 * a more important one waits that can still finish.
 *
 * <p>Thread safe: one short lock around {@link GateCore}, which decides; listeners are called without it. A gate with
 * nothing in flight has no timer.
 */
public final class TargetGate {

    private static final Duration QUEUE_TICK = Duration.ofMillis(5);
    private static final Duration RECLAIM_TICK = Duration.ofSeconds(1);

    private final Object lock = new Object();
    private final TimerService timers;
    private final Ticker ticker;
    private final GateCore core;
    private boolean queueTicking;
    private boolean reclaimTicking;
    private long order;
    private long reports;

    private TargetGate(TimerService timers, GateCore core) {
        this.timers = timers;
        this.ticker = timers.ticker();
        this.core = core;
    }

    /** The generator must be thread safe when others use it too. */
    public static TargetGate create(
            GateSettings settings, TimerService timers, RandomGenerator random, EventSink events, ServiceName service) {
        long now = timers.ticker().nanos();
        return new TargetGate(timers, new GateCore(settings, random, events, service, now));
    }

    /** Takes new settings, for example announced slots; what runs goes on. */
    public void reconfigure(GateSettings changed) {
        decide((now, out) -> core.reconfigure(changed, now, out));
    }

    /** The target has started anew and is cold. */
    public void targetRestarted() {
        decide((now, out) -> core.targetRestarted(now));
    }

    /** Decides over the request now or a short time later; the listener hears it exactly once. */
    public GateHandle submit(GateRequest request, GateListener listener) {
        Deliveries out = new Deliveries();
        GateEntry entry;
        synchronized (lock) {
            long now = ticker.nanos();
            entry = new GateEntry(this, request, listener, now, order++);
            core.submit(entry, now, out);
            armTicks();
        }
        out.deliver();
        return entry;
    }

    /** Admits nothing more; what waits is refused, what runs goes on. */
    public void drain() {
        decide(core::drain);
    }

    /** Admits again. */
    public void undrain() {
        decide((now, out) -> core.undrain());
    }

    /** Admission level on the scale of {@link ServiceLevel}. */
    public int level() {
        synchronized (lock) {
            return core.level(ticker.nanos());
        }
    }

    /** What is told with each result. */
    public TargetLoad load() {
        synchronized (lock) {
            return core.load(ticker.nanos(), ++reports);
        }
    }

    public GateSnapshot snapshot() {
        synchronized (lock) {
            return core.snapshot(ticker.nanos());
        }
    }

    /** Completes when nothing is in flight or waits; for a planned stop, after {@link #drain}. */
    public CompletableFuture<Void> idle() {
        CompletableFuture<Void> future = new CompletableFuture<>();
        decide((now, out) -> core.whenIdle(future, out));
        return future;
    }

    void cancel(GateEntry entry) {
        decide((now, out) -> core.cancel(entry, now, out));
    }

    void release(GateEntry entry, Completion completion) {
        decide((now, out) -> core.release(entry, completion, now, out));
    }

    private void decide(Decision decision) {
        Deliveries out = new Deliveries();
        synchronized (lock) {
            decision.make(ticker.nanos(), out);
        }
        out.deliver();
    }

    private void armTicks() {
        if (!queueTicking && core.hasQueued()) {
            queueTicking = true;
            timers.after(QUEUE_TICK, this::queueTick);
        }
        if (!reclaimTicking && core.hasRunning()) {
            reclaimTicking = true;
            timers.after(RECLAIM_TICK, this::reclaimTick);
        }
    }

    private void queueTick() {
        decide((now, out) -> {
            queueTicking = false;
            core.expire(now, out);
            armTicks();
        });
    }

    private void reclaimTick() {
        decide((now, out) -> {
            reclaimTicking = false;
            core.reclaim(now, out);
            armTicks();
        });
    }

    /** A decision of the core at a time. */
    @FunctionalInterface
    private interface Decision {
        void make(long now, Deliveries out);
    }
}
