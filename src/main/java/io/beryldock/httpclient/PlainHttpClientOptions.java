package io.beryldock.httpclient;

import java.time.Duration;

/**
 * Limits of one HTTP client. Immutable.
 *
 * @param connectionWait longest wait for a free connection of the pool
 * @param connectTimeout longest time to make a connection
 * @param answerTimeout longest silence of the server before the exchange fails
 * @param validateAfter idle time after which a pooled connection is checked before it is used
 */
public record PlainHttpClientOptions(
        int ioThreads,
        int maxConnectionsPerRoute,
        int maxConnections,
        Duration connectionWait,
        Duration connectTimeout,
        Duration answerTimeout,
        Duration validateAfter) {

    private static final Duration DEFAULT_CONNECT = Duration.ofSeconds(1);
    private static final Duration DEFAULT_ANSWER = Duration.ofSeconds(30);
    private static final Duration DEFAULT_VALIDATE = Duration.ofMillis(100);

    /** Usual limits of time with this number of threads and connections. */
    public static PlainHttpClientOptions of(int ioThreads, int maxConnectionsPerRoute, int maxConnections) {
        return new PlainHttpClientOptions(
                ioThreads,
                maxConnectionsPerRoute,
                maxConnections,
                DEFAULT_CONNECT,
                DEFAULT_CONNECT,
                DEFAULT_ANSWER,
                DEFAULT_VALIDATE);
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
