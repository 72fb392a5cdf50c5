package io.beryldock.httpclient;

import java.time.Duration;

/**
 * Limits and timeouts of an HTTP client. Immutable.
 *
 * @param connectionWait longest wait for a free connection from the pool
 * @param connectTimeout longest time to establish a connection
 * @param answerTimeout longest time without received bytes before the exchange fails
 * @param validateAfter idle time after which a pooled connection is validated before use
 */
public record PlainHttpClientOptions(
        int ioThreads,
        int maxConnectionsPerRoute,
        int maxConnections,
        Duration connectionWait,
        Duration connectTimeout,
        Duration answerTimeout,
        Duration validateAfter) {

    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_ANSWER_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration DEFAULT_VALIDATE_AFTER = Duration.ofMillis(100);

    /** Returns options with the default timeouts and the given numbers of threads and connections. */
    public static PlainHttpClientOptions of(int ioThreads, int maxConnectionsPerRoute, int maxConnections) {
        return new PlainHttpClientOptions(
                ioThreads,
                maxConnectionsPerRoute,
                maxConnections,
                DEFAULT_CONNECT_TIMEOUT,
                DEFAULT_CONNECT_TIMEOUT,
                DEFAULT_ANSWER_TIMEOUT,
                DEFAULT_VALIDATE_AFTER);
    }

    public PlainHttpClientOptions withConnectionWait(Duration wait) {
        return new PlainHttpClientOptions(
                ioThreads, maxConnectionsPerRoute, maxConnections, wait, connectTimeout, answerTimeout, validateAfter);
    }

    public PlainHttpClientOptions withAnswerTimeout(Duration timeout) {
        return new PlainHttpClientOptions(
                ioThreads,
                maxConnectionsPerRoute,
                maxConnections,
                connectionWait,
                connectTimeout,
                timeout,
                validateAfter);
    }
}
