package io.beryldock.peer;

import java.time.Duration;

/**
 * Bounds of what a transport holds and waits for. Immutable.
 *
 * @param maxFrameBytes largest message, with its frame
 * @param maxBufferedBytes bytes waiting to be written to one connection, over which a request is not sent
 * @param maxWaitingRequests requests that wait for one connection to be made
 * @param connectTimeout longest wait for a connection with its TLS and hello exchange
 * @param backoffMin pause after the first failed connect
 * @param backoffMax longest pause after a failed connect
 */
public record PeerLimits(
        int maxFrameBytes,
        int maxBufferedBytes,
        int maxWaitingRequests,
        Duration connectTimeout,
        Duration backoffMin,
        Duration backoffMax) {

    private static final int MEBIBYTE = 1 << 20;

    public static PeerLimits defaults() {
        return new PeerLimits(
                2 * MEBIBYTE, 4 * MEBIBYTE, 256, Duration.ofMillis(500), Duration.ofMillis(50), Duration.ofSeconds(2));
    }
}
