package io.beryldock.standin;

import com.google.common.collect.ImmutableList;
import io.beryldock.http.BeryldockHeaders;
import io.beryldock.standin.StandinTargetSettings.InnerCall;
import io.beryldock.time.TimerService;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * A target from one start to its end or crash: its listener, its slots and the requests under way.
 *
 * <p>Thread safe. Invariant: once it has crashed it answers nothing and begins nothing.
 */
final class TargetLife {

    private final StandinTargetSettings settings;
    private final StandinResources resources;
    private final Supplier<TargetFaults> faults;
    private final RunLog log;
    private final ServiceTimeSampler sampler;
    private final SlotQueue slots;
    private final InnerCaller inner;
    private final long start;
    private final Set<TargetRun> runs = ConcurrentHashMap.newKeySet();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private volatile boolean leaving;
    private volatile boolean dead;
    private volatile boolean over;
    private HttpListener listener;

    private TargetLife(
            StandinTargetSettings settings,
            StandinResources resources,
            Supplier<TargetFaults> faults,
            RunLog log,
            ServiceTimeSampler sampler) {
        this.settings = settings;
        this.resources = resources;
        this.faults = faults;
        this.log = log;
        this.sampler = sampler;
        this.slots = SlotQueue.create(settings.slots(), settings.queue());
        this.inner = InnerCaller.create(resources.client(), settings.node());
        this.start = resources.timers().ticker().nanos();
    }

    /** Listens; the handler gets every request and passes on to {@link #serve} what is for the target's service. */
    static TargetLife start(
            StandinTargetSettings settings,
            StandinResources resources,
            Supplier<TargetFaults> faults,
            RunLog log,
            ServiceTimeSampler sampler,
            HttpListener.ExchangeHandler handler)
            throws StandinException {
        TargetLife life = new TargetLife(settings, resources, faults, log, sampler);
        InetSocketAddress address = new InetSocketAddress(settings.address(), settings.port());
        life.listener = HttpListener.start(resources, address, handler);
        return life;
    }

    void serve(HttpExchange exchange) {
        if (dead) {
            return;
        }
        nameConditions(exchange);
        if (chance(faults().shedShare())) {
            TargetAnswers.refuse(exchange, "shed");
            return;
        }
        TargetRun run = new TargetRun(this, exchange);
        inFlight.incrementAndGet();
        runs.add(run);
        exchange.onHangup(run::cancel);
        if (!slots.submit(run.task())) {
            runs.remove(run);
            leaveOne();
            TargetAnswers.refuse(exchange, "the queue is full");
        }
    }

    /** Puts into the answer what the target says of itself. */
    private void nameConditions(HttpExchange exchange) {
        if (faults().rateLimit() > 0) {
            exchange.with(BeryldockHeaders.RATE_LIMIT, Double.toString(faults().rateLimit()));
        }
        if (leaving) {
            exchange.with(BeryldockHeaders.LEAVING, "1");
        }
    }

    /** Takes back the slot of a run that has ended. */
    void giveBack(TargetRun run) {
        if (dead) {
            return;
        }
        runs.remove(run);
        leaveOne();
        slots.release();
    }

    /** Takes a run that has ended out of the queue; one that has just left the queue gives its slot back itself. */
    void withdraw(TargetRun run) {
        if (slots.withdraw(run.task())) {
            runs.remove(run);
            leaveOne();
        }
    }

    private void leaveOne() {
        if (inFlight.decrementAndGet() == 0 && leaving) {
            drained.complete(null);
        }
    }

    /** Completes once nothing is in flight any more. */
    CompletableFuture<Void> leave() {
        leaving = true;
        if (inFlight.get() == 0) {
            drained.complete(null);
        }
        return drained;
    }

    /** Ends as a killed process does: connections close, nothing is answered, inner calls break off. */
    void crash() {
        dead = true;
        listener.close();
        runs.forEach(TargetRun::abandon);
        runs.clear();
        over = true;
    }

    void unhang() {
        runs.forEach(TargetRun::unhang);
    }

    void silenceOpenConnections() {
        listener.silenceOpenConnections();
    }

    ImmutableList<InnerCall> innerCallsOf(String method, String path) {
        return settings.innerCalls().stream()
                .filter(call -> call.isMadeBy(method, path))
                .collect(ImmutableList.toImmutableList());
    }

    Duration nextServiceTime() {
        return sampler.next(
                now() - start - TimeUnit.MILLISECONDS.toNanos(settings.startMillis()), faults().slowFactor());
    }

    boolean chance(double share) {
        return sampler.chance(share);
    }

    long now() {
        return resources.timers().ticker().nanos();
    }

    boolean isStarting() {
        return now() - start < TimeUnit.MILLISECONDS.toNanos(settings.startMillis());
    }

    /** Differs from that of any other start at the same address. */
    String name() {
        return settings.service() + "-" + Long.toHexString(start);
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Whether it has crashed and given its address free. */
    boolean isOver() {
        return over;
    }

    int busy() {
        return slots.held();
    }

    int waiting() {
        return slots.waiting();
    }

    int inFlight() {
        return inFlight.get();
    }

    InetSocketAddress address() {
        return listener.address();
    }

    StandinTargetSettings settings() {
        return settings;
    }

    TargetFaults faults() {
        return faults.get();
    }

    TimerService timers() {
        return resources.timers();
    }

    RunLog log() {
        return log;
    }

    InnerCaller inner() {
        return inner;
    }
}
