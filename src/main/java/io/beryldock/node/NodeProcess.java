package io.beryldock.node;

import com.google.common.collect.ImmutableMap;
import com.google.inject.Guice;
import com.google.inject.Injector;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.command.OperatorService;
import io.beryldock.configuration.ConfigurationSync;
import io.beryldock.forwarding.JoiningRequestHandler;
import io.beryldock.forwarding.TargetExecutor;
import io.beryldock.http.HttpPorts;
import io.beryldock.http.NodeHttpServer;
import io.beryldock.http.OperatorAccess;
import io.beryldock.http.OperatorServlet;
import io.beryldock.http.ServerStartException;
import io.beryldock.idempotency.KeyedRequests;
import io.beryldock.idempotency.TicketRefusedException;
import io.beryldock.membership.MembershipService;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.peer.NettyPeerTransport;
import io.beryldock.peer.PeerStartException;
import io.beryldock.peer.PeerTlsFiles;
import io.beryldock.peer.PeerTransportSettings;
import io.beryldock.platform.HttpPlatformStore;
import io.beryldock.platform.PlatformStore;
import io.beryldock.settings.NodeSettings;
import io.beryldock.settings.SettingsException;
import io.beryldock.time.ThreadTimerService;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventRing;
import io.prometheus.metrics.exporter.servlet.jakarta.PrometheusMetricsServlet;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Starts nodes. Stateless. */
public final class NodeProcess {

    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(1);
    private static final int OWN_IO_THREADS = 2;
    private static final String METRICS_PATH = "/metrics";

    private NodeProcess() {}

    /** Starts a node with threads of its own. */
    public static RunningNode start(NodeSettings settings)
            throws SettingsException, PeerStartException, ServerStartException, InterruptedException {
        SharedResources shared =
                SharedResources.start(OWN_IO_THREADS, settings.limits().connectionsToTarget());
        return start(settings, shared).owning(shared);
    }

    /** Starts a node on shared threads, as the demo does with dozens of nodes in one process. */
    public static RunningNode start(NodeSettings settings, SharedResources shared)
            throws SettingsException, PeerStartException, ServerStartException, InterruptedException {
        ControlLoop control = ControlLoop.start(settings.id());
        ThreadTimerService controlTimers = ThreadTimerService.start("timer-" + settings.id(), control);
        EventRing events = NodeModule.eventRing(settings);
        Incarnation incarnation = Incarnation.random(NodeModule.randomGenerator());
        NettyPeerTransport transport = NettyPeerTransport.create(
                peerSettings(settings),
                NodeModule.identity(settings, incarnation),
                controlTimers.on(shared.traffic()),
                events,
                shared.peerLoops());
        transport.start();
        NodeDescriptor self = new NodeDescriptor(
                NodeId.of(settings.id()), incarnation, DataCentre.of(settings.dataCentre()), transport.localAddress());
        PlatformStore store = store(settings, controlTimers.on(shared.traffic()));
        Injector injector = Guice.createInjector(
                new NodeModule(settings, self, control, controlTimers, transport, events, store),
                new KeyedModule(),
                new OperatorModule(),
                new TrafficModule(shared, controlTimers.on(shared.traffic())));
        injector.getInstance(TargetExecutor.class);
        NodeHttpServer http = NodeHttpServer.start(settings, httpPorts(settings, injector, control));
        control.run(() -> startControl(injector));
        events.record(EventKind.NODE_STARTED, settings.id(), "callers at " + http.callersAddress());
        return new RunningNode(settings, injector, http, store, Optional.empty());
    }

    private static void startControl(Injector injector) {
        injector.getInstance(MembershipService.class).start();
        injector.getInstance(ConfigurationSync.class).start();
        injector.getInstance(NodeFailureWatch.class).start();
        injector.getInstance(QuarantineSpreader.class).start(injector.getInstance(TimerService.class));
    }

    private static HttpPorts httpPorts(NodeSettings settings, Injector injector, ControlLoop control)
            throws SettingsException {
        TargetAnnouncements announcements = injector.getInstance(TargetAnnouncements.class);
        KeyedRequests keyed = injector.getInstance(KeyedRequests.class);
        return new HttpPorts(
                injector.getInstance(JoiningRequestHandler.class),
                announcement -> control.execute(() -> announcements.announce(announcement)),
                () -> CompletableFuture.supplyAsync(() -> mint(keyed), control),
                injector.getInstance(NodeHealth.class),
                ImmutableMap.of(
                        OperatorServlet.PATH,
                        operatorServlet(settings, injector),
                        METRICS_PATH,
                        new PrometheusMetricsServlet(
                                injector.getInstance(NodeMetrics.class).registry())));
    }

    private static OperatorServlet operatorServlet(NodeSettings settings, Injector injector) throws SettingsException {
        OperatorService operators = injector.getInstance(OperatorService.class);
        return new OperatorServlet(operators, OperatorAccess.of(settings.admin().token()));
    }

    private static Optional<String> mint(KeyedRequests keyed) {
        try {
            return Optional.of(keyed.tickets().own().mint().toString());
        } catch (TicketRefusedException e) {
            return Optional.empty();
        }
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

    private static PlatformStore store(NodeSettings settings, TimerService timers) {
        if (settings.platform() == null) {
            return new AbsentPlatformStore();
        }
        return HttpPlatformStore.start(URI.create(settings.platform().url()), STORE_TIMEOUT, timers);
    }
}
