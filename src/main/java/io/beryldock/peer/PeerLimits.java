package io.beryldock.peer;

import java.time.Duration;

/**
 * The memory and time limits of a transport. Immutable.
 *
 * @param maxFrameBytes size of the largest frame that this node accepts
 * @param maxBufferedBytes number of bytes queued for writing on one connection above which further messages to it fail;
 *     also the limit for the total size of the messages that wait for one connection to become ready
 * @param maxWaitingMessages maximum number of messages that wait for one connection to become ready
 * @param maxAccepted maximum number of accepted connections that are open at one time
 * @param connectTimeout maximum time for connecting, including the TLS handshake and the hello exchange
 * @param backoffMin longest pause after the first failed connect
 * @param backoffMax longest pause after any failed connect
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
