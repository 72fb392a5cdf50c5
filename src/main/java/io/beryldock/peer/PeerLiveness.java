package io.beryldock.peer;

import java.time.Duration;

/**
 * Bounds by which a connection is judged to work or not. Immutable.
 *
 * @param tick how often connections in use are looked at; deadlines of requests are noticed this much late
 * @param pingAfter how long a connection with waiting requests may go without proof that the peer reads it
 * @param silenceLimit how long a connection in use may make no progress before it is abandoned
 * @param oneWayLimit how long a peer may send without any proof that it reads before the connection is abandoned
 * @param probeAfter quiet time after which a connection is pinged before it carries a request
 * @param probeTimeout longest wait for the answer to that ping
 * @param noticePingAfter quiet time after which a one-way message is followed by a ping, without waiting for the pong
 * @param idleClose quiet time after which the node that made a connection closes it
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
