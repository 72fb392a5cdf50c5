package io.beryldock.peer;

import java.time.Duration;

/**
 * The intervals and time-outs that decide whether a connection still works. Immutable.
 *
 * @param tick interval between checks of connections in use; expired deadlines are detected up to this much late
 * @param pingAfter time without evidence that the peer reads, after which a connection that awaits replies is pinged
 * @param silenceLimit time without any progress after which a connection in use is abandoned
 * @param oneWayLimit time without evidence that the peer reads after which a connection is abandoned, even if bytes
 *     arrive on it
 * @param probeAfter time without received bytes after which a connection is probed with a ping before it carries a
 *     request
 * @param probeTimeout maximum wait for the pong to a probe
 * @param noticePingAfter time without received bytes after which a one-way message is followed by a ping; the message
 *     is written without waiting for the pong
 * @param idleClose time without use after which the node that made a connection closes it
 */
public record PeerLiveness(
        Duration tick,
        Duration pingAfter,
        Duration silenceLimit,
        Duration oneWayLimit,
        Duration probeAfter,
        Duration probeTimeout,
        Duration noticePingAfter,
        Duration idleClose) {

    public static PeerLiveness defaults() {
        return new PeerLiveness(
                Duration.ofMillis(50),
                Duration.ofMillis(300),
                Duration.ofSeconds(1),
                Duration.ofSeconds(3),
                Duration.ofSeconds(2),
                Duration.ofMillis(400),
                Duration.ofSeconds(10),
                Duration.ofSeconds(60));
    }

    public PeerLiveness withSilenceLimit(Duration other) {
        return new PeerLiveness(
                tick, pingAfter, other, oneWayLimit, probeAfter, probeTimeout, noticePingAfter, idleClose);
    }
}
