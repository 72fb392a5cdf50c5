package io.beryldock.http;

import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.client5.http.nio.AsyncClientConnectionManager;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** Creates asynchronous HTTP clients for targets, without retries, redirects, cookies or cached state. Stateless. */
public final class HttpClients {

    private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(1);

    /**
     * Idle time after which a pooled connection is closed.
     *
     * <p>Guards against a target that closes an idle connection while the next request is written to it: that request
     * would end as UNKNOWN although it did not run. Typically this is the first request after a minute without traffic.
     * Servers keep idle connections for several seconds at least, so a connection that was used within the last second
     * is still open.
     */
    private static final TimeValue IDLE_TIMEOUT = TimeValue.ofSeconds(1);

    private static final int MAX_LINE_BYTES = 8 << 10;
    private static final int MAX_HEADERS = 200;

    private HttpClients() {}

    /** Starts a client with at most the given number of connections to one target; the caller closes it. */
    public static CloseableHttpAsyncClient start(int connections, int ioThreads) {
        AsyncClientConnectionManager connectionManager = PoolingAsyncClientConnectionManagerBuilder.create()
                .setMaxConnPerRoute(connections)
                .setMaxConnTotal(connections)
                .setDefaultConnectionConfig(ConnectionConfig.custom()
                        .setConnectTimeout(CONNECT_TIMEOUT)
                        .setValidateAfterInactivity(IDLE_TIMEOUT)
                        .build())
                .build();
        CloseableHttpAsyncClient client = HttpAsyncClients.custom()
                .setHttp1Config(Http1Config.custom()
                        .setMaxLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderCount(MAX_HEADERS)
                        .build())
                .setConnectionManager(connectionManager)
                .setIOReactorConfig(IOReactorConfig.custom()
                        .setIoThreadCount(ioThreads)
                        .setTcpNoDelay(true)
                        .build())
                .evictIdleConnections(IDLE_TIMEOUT)
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .disableAuthCaching()
                .disableConnectionState()
                .build();
        client.start();
        return client;
    }
}
