package io.beryldock.peer;

import java.time.Duration;

/**
 * Bounds of what a transport holds and waits for. Immutable.
 *
 * @param maxFrameBytes largest message that is taken, with its frame
 * @param maxBufferedBytes bytes waiting to be written to one connection, over which no request is added; also the bytes
 *     of messages that wait for one connection to be made
 * @param maxWaitingMessages messages that wait for one connection to be made
 * @param maxAccepted connections accepted at one time
 * @param connectTimeout longest wait for a connection with its TLS and hello exchange
 * @param backoffMin pause after the first failed connect
 * @param backoffMax longest pause after a failed connect
 */
public record PeerLimits(
        int maxFrameBytes,
        int maxBufferedBytes,
        int maxWaitingMessages,
        int maxAccepted,
        Duration connectTimeout,
        Duration backoffMin,
        Duration backoffMax) {

    private static final int MEBIBYTE = 1 << 20;

    public static PeerLimits defaults() {
        return new PeerLimits(
                2 * MEBIBYTE,
                4 * MEBIBYTE,
                256,
                4096,
                Duration.ofSeconds(1),
                Duration.ofMillis(50),
                Duration.ofSeconds(2));
    }
}
