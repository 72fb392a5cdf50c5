package io.beryldock.standin;

import com.google.common.flogger.FluentLogger;
import io.beryldock.http.HangupEndPoint;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.component.ContainerLifeCycle;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * One HTTP/1.1 listener of a stand-in, served without a thread per request.
 *
 * <p>Thread safe. Closing it cuts all connections.
 */
final class HttpListener implements AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Longest body taken; a little more than the largest value of the platform store. */
    private static final int MAX_BODY_BYTES = (1 << 20) + 1;

    private static final int TOO_LARGE = 413;
    private static final int INTERNAL_ERROR = 500;
    private static final long IDLE_MILLIS = 300_000;
    private static final int BACKLOG = 1024;

    private final Server server;
    private final ServerConnector connector;
    private final Set<EndPoint> silenced;
    private final InetSocketAddress address;

    private HttpListener(Server server, ServerConnector connector, Set<EndPoint> silenced) {
        this.server = server;
        this.connector = connector;
        this.silenced = silenced;
        this.address = new InetSocketAddress(connector.getHost(), connector.getLocalPort());
    }

    /** Listens on the address, port 0 for any free one. */
    static HttpListener start(StandinResources resources, InetSocketAddress address, ExchangeHandler handler)
            throws StandinException {
        Server server = new Server(resources.threads(), resources.scheduler(), resources.buffers());
        ServerConnector connector = new HangupConnector(server, resources);
        keepShared(server, resources);
        keepShared(connector, resources);
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(IDLE_MILLIS);
        connector.setAcceptQueueSize(BACKLOG);
        server.addConnector(connector);
        Set<EndPoint> silenced = ConcurrentHashMap.newKeySet();
        server.setHandler(new Adapter(handler, silenced));
        server.setStopTimeout(0);
        try {
            server.start();
        } catch (Exception e) {
            LifeCycle.stop(server);
            throw new StandinException(
                    "can't listen on " + address + " (" + e.getMessage() + "): choose a free port and a local address",
                    e);
        }
        return new HttpListener(server, connector, silenced);
    }

    /** Leaves what many listeners share running when one of them stops; Jetty would stop it with the first. */
    private static void keepShared(ContainerLifeCycle container, StandinResources resources) {
        for (Object shared : List.of(resources.threads(), resources.scheduler(), resources.buffers())) {
            if (container.contains(shared)) {
                container.unmanage(shared);
            }
        }
    }

    private static HttpConnectionFactory http() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        return new HttpConnectionFactory(configuration);
    }

    /** Where it listens, or has listened. */
    InetSocketAddress address() {
        return address;
    }

    /** From now on nothing gets through on the connections that are open now; new ones work. */
    void silenceOpenConnections() {
        silenced.addAll(connector.getConnectedEndPoints());
    }

    @Override
    public void close() {
        LifeCycle.stop(server);
    }

    /** Answers one request now or later, once, on any thread. */
    @FunctionalInterface
    interface ExchangeHandler {

        /** Must not block. */
        void handle(HttpExchange exchange);
    }

    private static final class Adapter extends Handler.Abstract {

        private final ExchangeHandler handler;
        private final Set<EndPoint> silenced;

        Adapter(ExchangeHandler handler, Set<EndPoint> silenced) {
            super(Invocable.InvocationType.NON_BLOCKING);
            this.handler = handler;
            this.silenced = silenced;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            if (request.getLength() == 0) {
                serve(request, response, callback, new byte[0]);
                return true;
            }
            Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES, new Promise.Invocable.NonBlocking<>() {
                @Override
                public void succeeded(byte[] body) {
                    serve(request, response, callback, body);
                }

                @Override
                public void failed(Throwable failure) {
                    Response.writeError(request, response, callback, TOO_LARGE);
                }
            });
            return true;
        }

        private void serve(Request request, Response response, Callback callback, byte[] body) {
            HttpExchange exchange = new HttpExchange(request, response, callback, body, silenced::contains);
            if (exchange.isSilenced()) {
                return;
            }
            try {
                handler.handle(exchange);
            } catch (RuntimeException e) {
                log.atSevere().withCause(e).log("a stand-in failed to handle %s", exchange.path());
                exchange.answer(INTERNAL_ERROR, "text/plain", e.toString());
            }
        }
    }

    /** A connector that notices when the other end closes its connection in the midst of a request. */
    private static final class HangupConnector extends ServerConnector {

        HangupConnector(Server server, StandinResources resources) {
            super(server, resources.threads(), resources.scheduler(), resources.buffers(), 1, 1, http());
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
            return new HangupEndPoint(channel, selector, key, getScheduler(), getExecutor());
        }
    }
}
