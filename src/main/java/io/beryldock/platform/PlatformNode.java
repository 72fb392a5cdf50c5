package io.beryldock.platform;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Injector;
import io.beryldock.configuration.ActiveConfiguration;
import io.beryldock.configuration.Configuration;
import io.beryldock.configuration.DocumentSync;
import io.beryldock.eventloop.EventLoops;
import io.beryldock.forwarding.Addresses;
import io.beryldock.forwarding.EntryService;
import io.beryldock.nettyhttp.HttpAnswer;
import io.beryldock.nettyhttp.HttpClient;
import io.beryldock.nettyhttp.HttpClientSettings;
import io.beryldock.nettyhttp.HttpServer;
import io.beryldock.nettyhttp.HttpServerLimits;
import io.beryldock.node.ControlLoop;
import io.beryldock.node.NodeCore;
import io.beryldock.node.NodeHealth;
import io.beryldock.node.SharedResources;
import io.beryldock.node.StoreMetrics;
import io.beryldock.peer.PeerStartException;
import io.beryldock.settings.SettingsException;
import io.beryldock.settings.SettingsReader;
import io.beryldock.store.StoreSharing;
import io.beryldock.timeline.EventKind;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.function.Supplier;

/** A node that runs on the users' platform. Thread safe; may be stopped once. */
public final class PlatformNode {

    /** A VM has about one core, and a single thread avoids handing requests over between threads. */
    private static final int TRAFFIC_THREADS = 1;

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /** Settings for the target, which runs in the same VM and closes idle connections after a few seconds. */
    private static final HttpClientSettings TARGET_CLIENT =
            new HttpClientSettings(Duration.ofSeconds(1), Duration.ofSeconds(4), Duration.ofSeconds(1), 1 << 20);

    /** Settings for the store, whose values hold up to a megabyte and are a third longer as Base64 text. */
    private static final HttpClientSettings STORE_CLIENT =
            new HttpClientSettings(Duration.ofSeconds(1), Duration.ofSeconds(10), Duration.ofSeconds(1), 4 << 20);

    private final NodeCore core;

    private PlatformNode(NodeCore core) {
        this.core = core;
    }

    /** Starts a node with the settings in the file. */
    public static PlatformNode start(Path file)
            throws SettingsException, PeerStartException, IOException, InterruptedException {
        return start(SettingsReader.readSelfChecked(file, PlatformSettings.class));
    }

    static PlatformNode start(PlatformSettings settings)
            throws SettingsException, PeerStartException, IOException, InterruptedException {
        SharedResources shared = SharedResources.startWithoutTargetClient(TRAFFIC_THREADS);
        EventLoops loops = shared.traffic();
        OperatorDocument document = new OperatorDocument();
        HttpClient storeClient = HttpClient.create(STORE_CLIENT, loops);
        NodeCore core = NodeCore.assemble(
                settings.node(),
                shared,
                ControlLoop.on(loops.next()),
                timers -> KvStoreClient.create(settings.storeAddress(), storeClient),
                new PlatformModule(settings, HttpClient.create(TARGET_CLIENT, loops), document));
        bind(settings, core, loops, document::limits);
        core.control().run(() -> {
            core.startControl();
            core.injector().getInstance(LocalTargets.class).start();
            core.injector().getInstance(DocumentSync.class).start();
        });
        core.events()
                .record(
                        EventKind.NODE_STARTED,
                        settings.id(),
                        "requests at " + settings.listeners().requests());
        return new PlatformNode(core);
    }

    private static void bind(
            PlatformSettings settings, NodeCore core, EventLoops loops, Supplier<HttpServerLimits> limits)
            throws IOException, InterruptedException {
        Injector injector = core.injector();
        PlatformSettings.Listeners listeners = settings.listeners();
        NodeHealth health = injector.getInstance(NodeHealth.class);
        HeartbeatEndpoint heartbeats =
                new HeartbeatEndpoint(injector.getInstance(LocalTargets.class), settings.service());
        ActiveConfiguration configuration = injector.getInstance(ActiveConfiguration.class);
        CallerEndpoint callers = new CallerEndpoint(
                injector.getInstance(EntryService.class),
                settings.service(),
                () -> isConfigured(configuration),
                health::isStopping);
        PrometheusRegistry registry = new PrometheusRegistry();
        StoreMetrics.register(
                registry,
                injector.getInstance(StoreSharing.class)::stats,
                () -> configuration.current().version());
        MetricsEndpoint metrics = MetricsEndpoint.create(registry);
        HttpServer.bind(Addresses.parse(listeners.heartbeats()), loops, limits, heartbeats);
        HttpServer.bind(
                Addresses.parse(listeners.readiness()),
                loops,
                limits,
                exchange -> exchange.answer(
                        exchange.uri().equals(MetricsEndpoint.PATH)
                                ? metrics.answer()
                                : readiness(configuration, health)));
        HttpServer.bind(Addresses.parse(listeners.requests()), loops, limits, callers);
    }

    private static boolean isConfigured(ActiveConfiguration configuration) {
        return configuration.current().version() > Configuration.DEFAULTS_VERSION;
    }

    /** A node is ready once it has a configuration: without routes it could only refuse requests. */
    private static HttpAnswer readiness(ActiveConfiguration configuration, NodeHealth health) {
        boolean ready = isConfigured(configuration) && !health.isStopping();
        return HttpAnswer.of(ready ? OK : UNAVAILABLE);
    }

    /** Validates changed settings and logs the result; the settings take effect at the next start. */
    public static void checkChangedSettings(Path file) {
        try {
            SettingsReader.readSelfChecked(file, PlatformSettings.class);
            log.atInfo().log("changed settings %s are valid; the changes take effect at the next start", file);
        } catch (SettingsException e) {
            log.atSevere().log(
                    "changed settings %s are invalid: %s; the node keeps its current settings", file, e.getMessage());
        }
    }

    /** Stops the node gracefully: requests in flight are completed first. */
    public void stop() throws InterruptedException {
        core.stop();
        core.close();
    }
}
