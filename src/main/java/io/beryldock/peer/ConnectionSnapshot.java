package io.beryldock.peer;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * The state of one peer connection at one moment, for operators. Immutable.
 *
 * @param direction whether this node made or accepted the connection
 * @param address remote address; for an accepted connection, the peer's ephemeral address and not its listener
 * @param peer identity of the peer; empty until its hello has been received
 * @param state state of the connection in lower case, for example {@code ready}
 * @param outstanding number of requests on the connection that have no reply yet
 */
public record ConnectionSnapshot(
        Direction direction, InetSocketAddress address, Optional<PeerIdentity> peer, String state, int outstanding) {

    /** Whether this node made or accepted a connection. */
    public enum Direction {
        MADE,
        ACCEPTED
    }
}
