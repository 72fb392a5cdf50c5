package io.beryldock.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.health.HealthCheckRegistry;
import io.beryldock.settings.NodeSettings;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jackson.Jackson;
import io.dropwizard.jersey.validation.Validators;
import io.dropwizard.jetty.ConnectorFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.request.logging.LogbackAccessRequestLogFactory;
import jakarta.servlet.Servlet;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * Runs the HTTP listeners of a node for callers, loopback and admin with Dropwizard and Jersey.
 *
 * <p>An instance is started once and closed once; it is thread safe after the start.
 */
public final class NodeHttpServer implements AutoCloseable {

    private static final int MAX_THREADS = 64;
    private static final int MIN_THREADS = 8;
    private static final int CALLERS = 0;
    private static final int LOOPBACK = 1;
    private static final int ADMIN = 2;

    private final Server server;
    private final List<ServerConnector> connectors;

    private NodeHttpServer(Server server, List<ServerConnector> connectors) {
        this.server = server;
        this.connectors = connectors;
    }

    /** Binds and starts the listeners; fails if an address is in use. */
    public static NodeHttpServer start(NodeSettings settings, HttpHandlers handlers) throws ServerStartException {
        Environment environment = environment(settings);
        PortHolder callersPort = new PortHolder();
        Responder responder = new Responder();
        registerResources(environment, settings, handlers, callersPort, responder);
        handlers.adminServlets().forEach((path, servlet) -> addServlet(environment, path, servlet));
        Server server = factory(settings).build(environment);
        responder.set(server.getThreadPool());
        try {
            server.start();
        } catch (Exception e) {
            throw new ServerStartException(settings.id(), e);
        }
        List<ServerConnector> connectors = List.of(server.getConnectors()).stream()
                .map(ServerConnector.class::cast)
                .toList();
        callersPort.set(connectors.get(CALLERS).getLocalPort());
        return new NodeHttpServer(server, connectors);
    }

    private static Environment environment(NodeSettings settings) {
        return new Environment(
                settings.id(),
                Jackson.newObjectMapper(),
                Validators.newValidatorFactory(),
                new MetricRegistry(),
                NodeHttpServer.class.getClassLoader(),
                new HealthCheckRegistry(),
                new Configuration());
    }

    private static void registerResources(
            Environment environment,
            NodeSettings settings,
            HttpHandlers handlers,
            PortHolder callersPort,
            Executor responder) {
        RequestReader reader = new RequestReader(
                settings.limits().maxBodyBytes(), settings.limits().maxHeaderBytes(), new CallerIdentifier());
        environment
                .jersey()
                .register(new ForwardResource(handlers.requests(), reader, request -> callersPort.get(), responder));
        environment.jersey().register(new AnnounceResource(handlers.announcements(), request -> callersPort.get()));
        environment.jersey().register(new TicketResource(handlers.tickets(), responder));
        environment.healthChecks().register("node", handlers.health());
    }

    private static void addServlet(Environment environment, String path, Servlet servlet) {
        environment.admin().addServlet(path, servlet).addMapping(path);
    }

    private static DefaultServerFactory factory(NodeSettings settings) {
        DefaultServerFactory factory = new DefaultServerFactory();
        NodeSettings.Listener callers = settings.callers();
        NodeSettings.Listener loopback = settings.loopback();
        factory.setApplicationConnectors(List.of(
                listener(new HangupConnectorFactory(), callers.address(), callers.port()),
                listener(new HangupConnectorFactory(), loopback.address(), loopback.port())));
        factory.setAdminConnectors(List.of(listener(
                new HttpConnectorFactory(),
                settings.admin().address(),
                settings.admin().port())));
        factory.setMaxThreads(MAX_THREADS);
        factory.setMinThreads(MIN_THREADS);
        factory.setDetailedJsonProcessingExceptionMapper(false);
        // The target's answer is forwarded unchanged; compression would alter the representation the caller requested.
        factory.getGzipFilterFactory().setEnabled(false);
        LogbackAccessRequestLogFactory requestLog = new LogbackAccessRequestLogFactory();
        requestLog.setAppenders(List.of());
        factory.setRequestLogFactory(requestLog);
        return factory;
    }

    private static ConnectorFactory listener(HttpConnectorFactory factory, String address, int port) {
        factory.setBindHost(address);
        factory.setPort(port);
        factory.setAcceptorThreads(Optional.of(1));
        factory.setSelectorThreads(Optional.of(1));
        factory.setUseServerHeader(false);
        return factory;
    }

    public InetSocketAddress callersAddress() {
        return address(CALLERS);
    }

    public InetSocketAddress loopbackAddress() {
        return address(LOOPBACK);
    }

    public InetSocketAddress adminAddress() {
        return address(ADMIN);
    }

    private InetSocketAddress address(int connector) {
        ServerConnector serverConnector = connectors.get(connector);
        return new InetSocketAddress(serverConnector.getHost(), serverConnector.getLocalPort());
    }

    /** Closes the listeners without a grace period; a planned stop waits for the requests in flight beforehand. */
    @Override
    public void close() {
        server.setStopTimeout(0);
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("stopping the HTTP listeners failed", e);
        }
    }

    /** Writes responses on the server's thread pool, which is set once the server is built. Thread safe. */
    private static final class Responder implements Executor {
        private volatile Executor delegate = Runnable::run;

        void set(Executor newDelegate) {
            delegate = newDelegate;
        }

        @Override
        public void execute(Runnable task) {
            delegate.execute(task);
        }
    }

    /** Holds the port of the callers' listener, or -1 until the listeners are bound. Thread safe. */
    private static final class PortHolder {
        private volatile int port = -1;

        void set(int value) {
            port = value;
        }

        int get() {
            return port;
        }
    }
}
