package io.beryldock.node;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.Module;
import com.google.inject.util.Modules;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.eventloop.LoopTimerService;
import io.beryldock.forwarding.EntryService;
import io.beryldock.forwarding.RequestTally;
import io.beryldock.forwarding.TargetExecutor;
import io.beryldock.idempotency.KeyedRequests;
import io.beryldock.membership.Membership;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.NettyPeerTransport;
import io.beryldock.peer.PeerStartException;
import io.beryldock.peer.PeerTlsFiles;
import io.beryldock.peer.PeerTransportSettings;
import io.beryldock.settings.NodeSettings;
import io.beryldock.settings.SettingsException;
import io.beryldock.share.FairDivision;
import io.beryldock.store.PlatformStore;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventRing;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/**
 * The components of a node except its HTTP listeners: control thread, peer transport, decisions and request path.
 *
 * <p>Thread safe; may be stopped or closed once.
 */
public final class NodeCore implements AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final long PEER_DRAIN_SECONDS = 3;

    private final NodeSettings settings;
    private final ControlLoop control;
    private final NettyPeerTransport transport;
    private final EventRing events;
    private final Injector injector;

    private NodeCore(
            NodeSettings settings,
            ControlLoop control,
            NettyPeerTransport transport,
            EventRing events,
            Injector injector) {
        this.settings = settings;
        this.control = control;
        this.transport = transport;
        this.events = events;
        this.injector = injector;
    }

    /**
     * Binds the peer listener and assembles the components; no requests are sent to other nodes yet.
     *
     * @param control owns the control state; closed with the node
     * @param store creates the client of the platform's store, given the timers of the traffic threads
     * @param overrides bindings that replace the default ones
     */
    public static NodeCore assemble(
            NodeSettings settings,
            SharedResources shared,
            ControlLoop control,
            Function<TimerService, PlatformStore> store,
            Module overrides)
            throws SettingsException, PeerStartException, InterruptedException {
        LoopTimerService trafficTimers = LoopTimerService.on(shared.traffic());
        EventRing events = NodeModule.eventRing(settings);
        Incarnation incarnation = Incarnation.random(NodeModule.randomGenerator());
        NettyPeerTransport transport = NettyPeerTransport.create(
                peerSettings(settings),
                NodeModule.identity(settings, incarnation),
                trafficTimers,
                events,
                shared.traffic());
        transport.start();
        NodeDescriptor self = new NodeDescriptor(
                NodeId.of(settings.id()),
                incarnation,
                DataCentre.of(settings.dataCentre()),
                advertised(settings.peers(), transport.localAddress()));
        Module defaults = Modules.combine(
                new NodeModule(settings, self, control, transport, events, store.apply(trafficTimers)),
                new KeyedModule(),
                new OperatorModule(),
                new CreditModule(trafficTimers, FairDivision.create()),
                new AdmissionModule(trafficTimers),
                new TrafficModule(shared, trafficTimers));
        Injector injector = Guice.createInjector(Modules.override(defaults).with(overrides));
        injector.getInstance(TargetExecutor.class);
        return new NodeCore(settings, control, transport, events, injector);
    }

    private static InetSocketAddress advertised(NodeSettings.Peers peers, InetSocketAddress bound) {
        return peers.advertisedPort() == null
                ? bound
                : new InetSocketAddress(bound.getAddress(), peers.advertisedPort());
    }

    private static PeerTransportSettings peerSettings(NodeSettings settings) throws SettingsException {
        NodeSettings.Peers peers = settings.peers();
        InetSocketAddress bind = new InetSocketAddress(peers.address(), peers.port());
        if (peers.tls() != null && !peers.insecure()) {
            NodeSettings.Tls tls = peers.tls();
            return PeerTransportSettings.secure(
                    bind,
                    new PeerTlsFiles(Path.of(tls.certificateFile()), Path.of(tls.keyFile()), Path.of(tls.trustFile())));
        }
        if (peers.tls() == null && peers.insecure()) {
            return PeerTransportSettings.insecure(bind);
        }
        throw new SettingsException(
                "peers", "exactly one of 'tls' and '\"insecure\": true'", "name the certificates, or choose insecure");
    }

    public Injector injector() {
        return injector;
    }

    public ControlLoop control() {
        return control;
    }

    public EventRing events() {
        return events;
    }

    NettyPeerTransport transport() {
        return transport;
    }

    /** Starts the components of the control thread; must be called on that thread. */
    public void startControl() {
        injector.getInstance(Membership.class).start();
        injector.getInstance(NodeFailureWatch.class).start();
        injector.getInstance(QuarantineGossip.class).start(injector.getInstance(TimerService.class));
    }

    /**
     * Stops the node gracefully: drains the target, completes the requests in flight, hands the tickets over to a peer
     * and leaves the membership.
     */
    public void stop() throws InterruptedException {
        new PlannedStop(new PlannedStop.Parts(
                        control,
                        injector.getInstance(TargetAnnouncements.class),
                        injector.getInstance(EntryService.class),
                        injector.getInstance(RequestTally.class),
                        injector.getInstance(KeyedRequests.class),
                        injector.getInstance(Membership.class),
                        injector.getInstance(NodeHealth.class),
                        control.timers().ticker(),
                        events,
                        Duration.ofSeconds(settings.limits().drainSeconds())))
                .run();
        drainPeers();
    }

    /** Waits until the peers have completed their requests to this node and closed their connections. */
    private void drainPeers() throws InterruptedException {
        try {
            transport.drain().get(PEER_DRAIN_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            log.atWarning().withCause(e).log("some peers did not close their connections in time");
        }
    }

    /** Stops immediately; requests in flight are aborted, as in a crash. */
    @Override
    public void close() {
        transport.close();
        control.close();
    }
}
