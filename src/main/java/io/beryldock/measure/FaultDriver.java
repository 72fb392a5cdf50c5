package io.beryldock.measure;

import com.google.common.flogger.FluentLogger;
import io.beryldock.measure.Scenario.Fault;
import io.beryldock.standin.StandinException;
import io.beryldock.standin.StandinTarget;
import io.beryldock.store.InMemoryPlatformStore;
import io.beryldock.store.StoreFaults;
import io.beryldock.time.TimerService;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;

/**
 * Switches the faults of a scenario on and off when their time comes.
 *
 * <p>Thread safe. A crashed target is started again after {@link #RESTART_AFTER}, as its VM's supervisor would.
 */
final class FaultDriver implements AutoCloseable {

    /** Time that a crashed target stays down. */
    static final Duration RESTART_AFTER = Duration.ofSeconds(1);

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Duration WATCH_PERIOD = Duration.ofMillis(50);
    private static final String MARKER = "crashing";
    private static final double NANOS_PER_SECOND = 1e9;

    private final Scenario scenario;
    private final ScenarioCluster cluster;
    private final TimerService timers;
    private final List<TimerService.Subscription> subscriptions = new ArrayList<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();

    private FaultDriver(Scenario scenario, ScenarioCluster cluster) {
        this.scenario = scenario;
        this.cluster = cluster;
        this.timers = cluster.resources().timers();
    }

    /** Arms all faults of a scenario that begins now. */
    static FaultDriver start(Scenario scenario, ScenarioCluster cluster) {
        FaultDriver driver = new FaultDriver(scenario, cluster);
        scenario.faults().forEach(driver::arm);
        return driver;
    }

    /** How often a target crashed. */
    int crashes() {
        return crashes.get();
    }

    private synchronized void arm(Fault fault) {
        subscriptions.add(timers.after(at(fault.span().from()), () -> begin(fault)));
        subscriptions.add(timers.after(at(fault.span().until()), () -> end(fault)));
    }

    private Duration at(double share) {
        return Duration.ofNanos(Math.round(scenario.length().toNanos() * share));
    }

    private void begin(Fault fault) {
        switch (fault.kind()) {
            case SLOW ->
                cluster.targetsOf(fault.service())
                        .forEach(target -> target.setFaults(target.faults().withSlowFactor(fault.factor())));
            case CRASH -> beginCrashes(fault);
            case SILENCE -> cluster.targetsOf(fault.service()).forEach(StandinTarget::silenceOpenConnections);
            case STORE_DOWN -> store().setFaults(StoreFaults.none().withDown(true));
            case STORE_SLOW ->
                store().setFaults(StoreFaults.none().withDelay(Duration.ofMillis((long) fault.factor())));
            default -> throw new IllegalStateException("no such fault: " + fault.kind());
        }
    }

    private void end(Fault fault) {
        switch (fault.kind()) {
            case SLOW ->
                cluster.targetsOf(fault.service())
                        .forEach(target -> target.setFaults(target.faults().withSlowFactor(1)));
            case CRASH ->
                cluster.targetsOf(fault.service())
                        .forEach(target -> target.setFaults(target.faults().withCrashMarker("")));
            case STORE_DOWN, STORE_SLOW -> store().setFaults(StoreFaults.none());
            default -> log.atFine().log("%s ends by itself", fault.kind());
        }
    }

    private InMemoryPlatformStore store() {
        return cluster.platform().store();
    }

    private synchronized void beginCrashes(Fault fault) {
        List<StandinTarget> targets = cluster.targetsOf(fault.service());
        targets.forEach(target -> target.setFaults(target.faults().withCrashMarker(MARKER)));
        for (StandinTarget target : targets) {
            AtomicInteger down = new AtomicInteger();
            subscriptions.add(timers.every(WATCH_PERIOD, () -> supervise(target, down)));
        }
        Duration period = Duration.ofNanos(Math.round(NANOS_PER_SECOND / fault.perSecond()));
        subscriptions.add(timers.every(period, () -> sendCrashing(fault)));
    }

    /** The caller of the crashing request sends the same one again and again, to any node. */
    private void sendCrashing(Fault fault) {
        List<InetSocketAddress> entries = cluster.entries();
        InetSocketAddress entry = entries.get(sent.getAndIncrement() % entries.size());
        String uri = "http://" + entry.getHostString() + ":" + entry.getPort() + "/" + fault.service() + "/" + MARKER
                + "?echo=" + MARKER;
        SimpleHttpRequest request = SimpleRequestBuilder.get(uri).build();
        request.setHeader("Authorization", "Bearer " + MARKER);
        var unused = cluster.resources().client().execute(request, null);
    }

    private void supervise(StandinTarget target, AtomicInteger down) {
        if (!target.isCrashed()) {
            return;
        }
        int periods = down.getAndIncrement();
        if (periods == 0) {
            crashes.incrementAndGet();
        }
        if (periods >= RESTART_AFTER.toNanos() / WATCH_PERIOD.toNanos()) {
            try {
                target.restart();
                down.set(0);
            } catch (StandinException e) {
                log.atWarning().withCause(e).log("a crashed target did not start again; trying once more");
            }
        }
    }

    @Override
    public synchronized void close() {
        subscriptions.forEach(TimerService.Subscription::cancel);
    }
}
