package io.beryldock.httpclient;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.config.TlsConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManager;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.core5.http2.HttpVersionPolicy;
import org.apache.hc.core5.pool.PoolConcurrencyPolicy;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.util.Timeout;

/**
 * Creates asynchronous HTTP/1.1 clients without retries, redirects, cookies, authentication state or decompression.
 *
 * <p>If the library silently resent a request after a stale pooled connection failed, the request could run twice, and
 * with a shared cookie store a caller could receive another caller's answer. Stateless.
 */
public final class PlainHttpClients {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private PlainHttpClients() {}

    /** Starts a client; the caller closes it. */
    public static CloseableHttpAsyncClient start(PlainHttpClientOptions options) {
        AtomicReference<CloseableHttpAsyncClient> started = new AtomicReference<>();
        CloseableHttpAsyncClient client = HttpAsyncClients.custom()
                .setConnectionManager(pool(options))
                .setIOReactorConfig(reactor(options))
                .setDefaultRequestConfig(request(options))
                .setIoReactorExceptionCallback(failure -> reactorFailed(started.get(), failure))
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .disableAuthCaching()
                .disableConnectionState()
                .build();
        started.set(client);
        client.start();
        return client;
    }

    /** Logs a failed reactor thread, unless the client is closing: this interrupts reactor threads and is no error. */
    private static void reactorFailed(CloseableHttpAsyncClient client, Exception failure) {
        IOReactorStatus status = client.getStatus();
        if (status != IOReactorStatus.SHUTTING_DOWN && status != IOReactorStatus.SHUT_DOWN) {
            log.atSevere().withCause(failure).log("reactor thread of HTTP client failed");
        }
    }

    private static PoolingAsyncClientConnectionManager pool(PlainHttpClientOptions options) {
        ConnectionConfig connection = ConnectionConfig.custom()
                .setConnectTimeout(Timeout.of(options.connectTimeout()))
                .setValidateAfterInactivity(Timeout.of(options.validateAfter()))
                .build();
        return PoolingAsyncClientConnectionManagerBuilder.create()
                .setPoolConcurrencyPolicy(PoolConcurrencyPolicy.STRICT)
                .setMaxConnPerRoute(options.maxConnectionsPerRoute())
                .setMaxConnTotal(options.maxConnections())
                .setDefaultConnectionConfig(connection)
                .setDefaultTlsConfig(TlsConfig.custom()
                        .setVersionPolicy(HttpVersionPolicy.FORCE_HTTP_1)
                        .build())
                .build();
    }

    private static IOReactorConfig reactor(PlainHttpClientOptions options) {
        return IOReactorConfig.custom()
                .setIoThreadCount(options.ioThreads())
                .setTcpNoDelay(true)
                .build();
    }

    private static RequestConfig request(PlainHttpClientOptions options) {
        return RequestConfig.custom()
                .setConnectionRequestTimeout(Timeout.of(options.connectionWait()))
                .setResponseTimeout(Timeout.of(options.answerTimeout()))
                .setRedirectsEnabled(false)
                .setAuthenticationEnabled(false)
                .setContentCompressionEnabled(false)
                .setExpectContinueEnabled(false)
                .setProtocolUpgradeEnabled(false)
                .build();
    }
}
