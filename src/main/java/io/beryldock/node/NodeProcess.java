package io.beryldock.node;

import com.google.common.collect.ImmutableMap;
import com.google.inject.Injector;
import com.google.inject.util.Modules;
import io.beryldock.command.OperatorService;
import io.beryldock.configuration.ConfigurationSync;
import io.beryldock.forwarding.JoiningRequestHandler;
import io.beryldock.http.HttpHandlers;
import io.beryldock.http.NodeHttpServer;
import io.beryldock.http.OperatorAccess;
import io.beryldock.http.OperatorServlet;
import io.beryldock.http.ServerStartException;
import io.beryldock.idempotency.KeyedRequests;
import io.beryldock.idempotency.TicketRefusedException;
import io.beryldock.peer.PeerStartException;
import io.beryldock.settings.NodeSettings;
import io.beryldock.settings.SettingsException;
import io.beryldock.store.HttpPlatformStore;
import io.beryldock.store.PlatformStore;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.prometheus.metrics.exporter.servlet.jakarta.PrometheusMetricsServlet;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Starts nodes with the product's own settings. Stateless. */
public final class NodeProcess {

    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(1);
    private static final int OWN_IO_THREADS = 2;
    private static final String METRICS_PATH = "/metrics";

    private NodeProcess() {}

    /** Starts a node with its own threads. */
    public static RunningNode start(NodeSettings settings)
            throws SettingsException, PeerStartException, ServerStartException, InterruptedException {
        SharedResources shared =
                SharedResources.start(OWN_IO_THREADS, settings.limits().connectionsToTarget());
        return start(settings, shared).withOwned(shared);
    }

    /** Starts a node on shared threads; the demo runs dozens of nodes in one process this way. */
    public static RunningNode start(NodeSettings settings, SharedResources shared)
            throws SettingsException, PeerStartException, ServerStartException, InterruptedException {
        NodeCore core = NodeCore.assemble(
                settings,
                shared,
                ControlLoop.start(settings.id()),
                timers -> store(settings, timers),
                Modules.EMPTY_MODULE);
        Injector injector = core.injector();
        NodeHttpServer http = NodeHttpServer.start(settings, httpPorts(settings, injector, core.control()));
        core.control().run(() -> startControl(core));
        core.events().record(EventKind.NODE_STARTED, settings.id(), "callers at " + http.callersAddress());
        return new RunningNode(core, http, Optional.empty());
    }

    private static void startControl(NodeCore core) {
        core.startControl();
        core.injector().getInstance(ConfigurationSync.class).start();
    }

    private static HttpHandlers httpPorts(NodeSettings settings, Injector injector, ControlLoop control)
            throws SettingsException {
        TargetAnnouncements announcements = injector.getInstance(TargetAnnouncements.class);
        KeyedRequests keyed = injector.getInstance(KeyedRequests.class);
        return new HttpHandlers(
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

    private static PlatformStore store(NodeSettings settings, TimerService timers) {
        if (settings.platform() == null) {
            return new AbsentPlatformStore();
        }
        return HttpPlatformStore.start(URI.create(settings.platform().url()), STORE_TIMEOUT, timers);
    }
}
