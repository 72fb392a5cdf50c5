package io.beryldock.standin;

import com.google.common.flogger.FluentLogger;
import io.beryldock.forwarding.Announcement;
import io.beryldock.membership.TargetState;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * A small HTTP target: slots, service times, inner calls through its node, announcements, and faults on demand.
 *
 * <p>Thread safe. Every answer names its request, and {@link #runs()} holds every request that really ran, over all
 * restarts. The paths {@code /faults}, {@code /runs}, {@code /leave} and {@code /health} are its own; all others are
 * work.
 */
public final class StandinTarget implements AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final StandinTargetSettings settings;
    private final StandinResources resources;
    private final boolean ownsResources;
    private final RunLog runs;
    private final ServiceTimeSampler sampler;
    private final Runnable crashAction;
    private final CompletableFuture<Void> left = new CompletableFuture<>();
    private volatile TargetFaults faults = TargetFaults.none();
    private volatile TargetLife life;
    private volatile Optional<TargetAnnouncer> announcer = Optional.empty();

    private StandinTarget(
            StandinTargetSettings settings,
            StandinResources resources,
            boolean ownsResources,
            Optional<Runnable> crashAction)
            throws StandinException {
        this.settings = settings;
        this.resources = resources;
        this.ownsResources = ownsResources;
        this.runs = RunLog.create(settings.runLogFile());
        Duration cold = Duration.ofMillis(settings.coldMillis());
        this.sampler = ServiceTimeSampler.create(settings.serviceTime(), cold, settings.seed());
        this.crashAction = crashAction.orElse(() -> resources.threads().execute(this::crash));
        this.life = newLife(settings);
        announce();
    }

    /** Starts a target with threads of its own. */
    public static StandinTarget start(StandinTargetSettings settings) throws StandinException {
        return startAlone(settings, Optional.empty());
    }

    /** Starts a target with threads of its own; a marked request runs the action, which ends the process. */
    public static StandinTarget start(StandinTargetSettings settings, Runnable crashAction) throws StandinException {
        return startAlone(settings, Optional.of(crashAction));
    }

    /** Starts a target on threads that it shares with other stand-ins; a marked request does {@link #crash()}. */
    public static StandinTarget start(StandinTargetSettings settings, StandinResources resources)
            throws StandinException {
        return new StandinTarget(settings, resources, false, Optional.empty());
    }

    private static StandinTarget startAlone(StandinTargetSettings settings, Optional<Runnable> crashAction)
            throws StandinException {
        StandinResources resources = StandinResources.start();
        try {
            return new StandinTarget(settings, resources, true, crashAction);
        } catch (StandinException e) {
            resources.close();
            throw e;
        }
    }

    private TargetLife newLife(StandinTargetSettings place) throws StandinException {
        return TargetLife.start(place, resources, () -> faults, runs, sampler, this::handle);
    }

    public InetSocketAddress address() {
        return life.address();
    }

    public TargetFaults faults() {
        return faults;
    }

    /** Puts these faults in place of those before; requests that hang are cut off once hanging is over. */
    public void setFaults(TargetFaults next) {
        faults = next;
        if (!next.hang()) {
            life.unhang();
        }
    }

    /** What really ran here. */
    public RunLog runs() {
        return runs;
    }

    /** Requests that hold a slot now. */
    public int busy() {
        return life.busy();
    }

    /** Requests that wait for a slot now. */
    public int waiting() {
        return life.waiting();
    }

    /** Requests that wait or run now. */
    public int inFlight() {
        return life.inFlight();
    }

    /** Lets nothing more through on the connections that are open now, in either direction; new ones work. */
    public void silenceOpenConnections() {
        life.silenceOpenConnections();
    }

    /** Announces that it leaves; completes once nothing is in flight, though it goes on serving until closed. */
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> drained = life.leave();
        announcer.ifPresent(TargetAnnouncer::announce);
        left.complete(null);
        return drained;
    }

    /** Completes when the target has been told to leave, by {@link #leave()} or {@code POST /leave}. */
    public CompletableFuture<Void> askedToLeave() {
        return left;
    }

    /** Ends as a killed process does: nothing is answered or announced any more. */
    public void crash() {
        announcer.ifPresent(TargetAnnouncer::stop);
        life.crash();
    }

    /** Whether it has crashed and can be started again. */
    public boolean isCrashed() {
        return life.isOver();
    }

    /** Starts again at the same address after a crash, cold and with free slots. */
    public void restart() throws StandinException {
        life = newLife(settings.withPort(life.address().getPort()));
        announce();
    }

    private void announce() {
        Duration period = Duration.ofMillis(settings.announceMillis());
        announcer = Optional.ofNullable(settings.node())
                .map(node -> TargetAnnouncer.start(resources, node, period, this::announcement));
    }

    private Announcement announcement() {
        TargetLife now = life;
        TargetState state = TargetState.READY;
        if (now.isLeaving()) {
            state = TargetState.LEAVING;
        } else if (now.isStarting()) {
            state = TargetState.STARTING;
        }
        String address = now.address().getHostString() + ":" + now.address().getPort();
        return new Announcement(settings.service(), address, settings.slots(), state, now.name());
    }

    private void handle(HttpExchange exchange) {
        if (TargetControl.handle(exchange, this)) {
            return;
        }
        if (faults.crashes(exchange.path(), exchange.header(TargetControl.CRASH_HEADER))) {
            log.atInfo().log("a marked request ends target %s", settings.service());
            runs.begin(
                    exchange.method(), exchange.path(), exchange.query("echo").orElse(""), "", "");
            crashAction.run();
            return;
        }
        life.serve(exchange);
    }

    @Override
    public void close() {
        announcer.ifPresent(TargetAnnouncer::stop);
        if (!life.isOver()) {
            life.crash();
        }
        runs.close();
        if (ownsResources) {
            resources.close();
        }
    }
}
