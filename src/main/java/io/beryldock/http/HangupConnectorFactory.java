package io.beryldock.http;

import io.dropwizard.jetty.HttpConnectorFactory;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.Scheduler;
import org.eclipse.jetty.util.thread.ThreadPool;

/** Builds connectors whose connections detect that the caller hangs up. Not thread safe, like its superclass. */
final class HangupConnectorFactory extends HttpConnectorFactory {

    @Override
    protected ServerConnector buildConnector(
            Server server,
            Scheduler scheduler,
            ByteBufferPool bufferPool,
            String name,
            ThreadPool threadPool,
            ConnectionFactory... factories) {
        ServerConnector connector = new HangupConnector(
                server,
                threadPool,
                scheduler,
                bufferPool,
                getAcceptorThreads().orElse(1),
                getSelectorThreads().orElse(1),
                factories);
        connector.setHost(getBindHost());
        connector.setPort(getPort());
        connector.setName(name);
        connector.setIdleTimeout(getIdleTimeout().toMilliseconds());
        return connector;
    }

    /** Connector that creates a {@link HangupEndPoint} for each accepted connection. */
    private static final class HangupConnector extends ServerConnector {

        HangupConnector(
                Server server,
                ThreadPool threadPool,
                Scheduler scheduler,
                ByteBufferPool bufferPool,
                int acceptors,
                int selectors,
                ConnectionFactory... factories) {
            super(server, threadPool, scheduler, bufferPool, acceptors, selectors, factories);
        }

        @Override
        protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
            return new HangupEndPoint(channel, selector, key, getScheduler(), getExecutor());
        }
    }
}
