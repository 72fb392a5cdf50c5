package io.beryldock.http;

import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.client5.http.nio.AsyncClientConnectionManager;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** Makes the asynchronous clients towards targets with every automatism off. Stateless. */
public final class HttpClients {

    private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(1);

    /**
     * Idle connections are dropped after this time.
     *
     * <p>Guards against the target's closing an idle connection while the next request is written on it: that request
     * would end UNKNOWN though it did not run, typically the first order after a quiet minute. Servers keep idle
     * connections for seconds at least, so one that was used within the last second is still good.
     */
    private static final TimeValue LONGEST_IDLE = TimeValue.ofSeconds(1);

    private HttpClients() {}

    /** Starts a client with at most that many connections to one target. */
    public static CloseableHttpAsyncClient start(int connections, int ioThreads) {
        AsyncClientConnectionManager connectionManager = PoolingAsyncClientConnectionManagerBuilder.create()
                .setMaxConnPerRoute(connections)
                .setMaxConnTotal(connections)
                .setDefaultConnectionConfig(ConnectionConfig.custom()
                        .setConnectTimeout(CONNECT_TIMEOUT)
                        .setValidateAfterInactivity(LONGEST_IDLE)
                        .build())
                .build();
        CloseableHttpAsyncClient client = HttpAsyncClients.custom()
                .setConnectionManager(connectionManager)
                .setIOReactorConfig(IOReactorConfig.custom()
                        .setIoThreadCount(ioThreads)
                        .setTcpNoDelay(true)
                        .build())
                .evictIdleConnections(LONGEST_IDLE)
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
