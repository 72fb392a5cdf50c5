package io.beryldock.admission;

import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.call.StartNotice;
import io.beryldock.call.TargetLoad;
import io.beryldock.call.TargetNotice;
import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Admission control of one target, at the target's node: decides which request runs now, is queued or is refused.
 *
 * <p>A gate serves one start of its target. Invariants: the requests in flight that the gate admitted never exceed the
 * announced slots, and those admitted in any time never exceed the rate that the target names; the listener of each
 * submitted request receives exactly one decision; a refused request was never admitted; nothing is admitted while
 * draining; no request is admitted while a more important one that can still finish is queued; nothing is admitted once
 * the target has said that it is leaving.
 *
 * <p>Thread safe: {@link GateCore} decides under one lock that is held briefly; listeners are called without it. A gate
 * with nothing in flight has no timer.
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
    private long loadVersion;

    private TargetGate(TimerService timers, GateCore core) {
        this.timers = timers;
        this.ticker = timers.ticker();
        this.core = core;
    }

    /** Creates the gate of a target whose starts are not identified. */
    public static TargetGate create(
            GateSettings settings, TimerService timers, RandomGenerator random, EventSink events, ServiceName service) {
        return create(settings, timers, random, events, service, "");
    }

    /**
     * Creates the gate of one start of a target; the generator must be thread safe when it is shared.
     *
     * @param start identifies the start, empty if unknown
     */
    public static TargetGate create(
            GateSettings settings,
            TimerService timers,
            RandomGenerator random,
            EventSink events,
            ServiceName service,
            String start) {
        long now = timers.ticker().nanos();
        return new TargetGate(timers, new GateCore(settings, random, events, service, start, now));
    }

    /** Applies new settings, for example other announced slots; running requests continue. */
    public void reconfigure(GateSettings changed) {
        decide((now, out) -> core.reconfigure(changed, now, out));
    }

    /** Signals that the target has restarted and is cold. */
    public void targetRestarted() {
        decide((now, out) -> core.targetRestarted(now));
    }

    /**
     * Applies what an answer of the target says about the target.
     *
     * @param sentAt time at which the request of the answer was sent, by the clock of the gate's timers
     */
    public void onNotice(TargetNotice notice, long sentAt) {
        decide((now, out) -> core.onNotice(notice, sentAt, now, out));
    }

    /** Applies what another node was told by answers of the target. */
    public void onPeerNotice(StartNotice notice) {
        decide((now, out) -> core.onPeerNotice(notice, now, out));
    }

    /** Returns a future that completes when the target has said that it is leaving. */
    public CompletableFuture<Void> leaving() {
        return core.leavingFuture();
    }

    /** Whether the target has said that it is leaving. */
    public boolean isLeaving() {
        return core.leavingFuture().isDone();
    }

    /** Whether the gate admits nothing at present. A request that it admitted before may not have been sent yet. */
    public boolean isDraining() {
        synchronized (lock) {
            return core.isDraining();
        }
    }

    /** Decides on the request now or a short time later; the listener receives the decision exactly once. */
    public GateHandle submit(GateRequest request, GateListener listener) {
        DecisionNotifications out = new DecisionNotifications();
        GateEntry entry;
        synchronized (lock) {
            long now = ticker.nanos();
            entry = new GateEntry(this, request, listener, now, order++);
            core.submit(entry, now, out);
            armTicks();
        }
        out.send();
        return entry;
    }

    /** Stops admission; queued requests are refused, running ones continue. */
    public void drain() {
        decide(core::drain);
    }

    /** Resumes admission, unless the target has said that it is leaving. */
    public void undrain() {
        decide((now, out) -> core.undrain());
    }

    /** Returns the admission level on the scale of {@link ServiceLevel}. */
    public int level() {
        synchronized (lock) {
            return core.level(ticker.nanos());
        }
    }

    /** Returns the load that is reported with each result. */
    public TargetLoad load() {
        synchronized (lock) {
            long now = ticker.nanos();
            // The clock makes versions increase over all gates of this node: the next start's gate must not begin anew.
            loadVersion = Math.max(loadVersion + 1, now);
            return core.load(now, loadVersion);
        }
    }

    public GateSnapshot snapshot() {
        synchronized (lock) {
            return core.snapshot(ticker.nanos());
        }
    }

    /**
     * Returns a future that completes when no request is in flight or queued; for a planned stop, after {@link #drain}.
     */
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
        DecisionNotifications out = new DecisionNotifications();
        synchronized (lock) {
            decision.make(ticker.nanos(), out);
        }
        out.send();
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

    /** A call of the core that makes decisions at a given time. */
    @FunctionalInterface
    private interface Decision {
        void make(long now, DecisionNotifications out);
    }
}
