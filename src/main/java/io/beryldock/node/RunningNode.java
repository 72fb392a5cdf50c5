package io.beryldock.node;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Injector;
import io.beryldock.forwarding.EntryService;
import io.beryldock.forwarding.ExecutionRegistry;
import io.beryldock.forwarding.RequestTally;
import io.beryldock.http.NodeHttpServer;
import io.beryldock.idempotency.KeyedRequests;
import io.beryldock.membership.MembershipService;
import io.beryldock.peer.NettyPeerTransport;
import io.beryldock.platform.PlatformStore;
import io.beryldock.retry.RetryLedger;
import io.beryldock.settings.NodeSettings;
import io.beryldock.time.ThreadTimerService;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventRing;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A node that runs. Thread safe; closed once. */
public final class RunningNode implements AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long PEER_DRAIN_SECONDS = 3;

    private final NodeSettings settings;
    private final Injector injector;
    private final NodeHttpServer http;
    private final PlatformStore store;
    private final Optional<SharedResources> owned;

    RunningNode(
            NodeSettings settings,
            Injector injector,
            NodeHttpServer http,
            PlatformStore store,
            Optional<SharedResources> owned) {
        this.settings = settings;
        this.injector = injector;
        this.http = http;
        this.store = store;
        this.owned = owned;
    }

    /** The same node, which closes these threads with itself. */
    RunningNode owning(SharedResources shared) {
        return new RunningNode(settings, injector, http, store, Optional.of(shared));
    }

    public InetSocketAddress callersAddress() {
        return http.callersAddress();
    }

    public InetSocketAddress loopbackAddress() {
        return http.loopbackAddress();
    }

    public InetSocketAddress adminAddress() {
        return http.adminAddress();
    }

    public InetSocketAddress peersAddress() {
        return injector.getInstance(NettyPeerTransport.class).localAddress();
    }

    /** Counts of root requests that entered here. */
    public RequestTally tally() {
        return injector.getInstance(RequestTally.class);
    }

    /** The retry ledger, with its count of broken invariants. */
    public RetryLedger ledger() {
        return injector.getInstance(RetryLedger.class);
    }

    public EventRing events() {
        return injector.getInstance(EventRing.class);
    }

    /** How the target in this VM stands: none, starting, ready, leaving or drained. */
    public String targetState() {
        return injector.getInstance(TargetAnnouncements.class).stateWord();
    }

    /** Calls that the target runs now. */
    public int running() {
        return injector.getInstance(ExecutionRegistry.class).size();
    }

    /** Stops without cutting off a request: drains, finishes what is in flight, hands the tickets over, leaves. */
    public void stop() throws InterruptedException {
        new PlannedStop(new PlannedStop.Parts(
                        injector.getInstance(ControlLoop.class),
                        injector.getInstance(TargetAnnouncements.class),
                        injector.getInstance(EntryService.class),
                        tally(),
                        injector.getInstance(KeyedRequests.class),
                        injector.getInstance(MembershipService.class),
                        injector.getInstance(NodeHealth.class),
                        injector.getInstance(TimerService.class).ticker(),
                        events(),
                        Duration.ofSeconds(settings.limits().drainSeconds())))
                .run();
        drainPeers();
        close();
    }

    /** Peers finish what they have under way here and close their connections. */
    private void drainPeers() throws InterruptedException {
        try {
            injector.getInstance(NettyPeerTransport.class).drain().get(PEER_DRAIN_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            log.atWarning().withCause(e).log("some peers did not close their connections in time");
        }
    }

    /** Stops at once: what is in flight is cut off, as in a crash. */
    @Override
    public void close() {
        ((ThreadTimerService) injector.getInstance(TimerService.class)).close();
        http.close();
        injector.getInstance(NettyPeerTransport.class).close();
        injector.getInstance(ControlLoop.class).close();
        if (store instanceof AutoCloseable closeable) {
            closeQuietly(closeable);
        }
        owned.ifPresent(SharedResources::close);
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            throw new IllegalStateException("the platform store's client can't be closed", e);
        }
    }
}
