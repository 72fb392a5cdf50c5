package io.beryldock.peer;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * State of one connection at one moment, for operators. Immutable.
 *
 * @param direction who made the connection
 * @param address address at the other end; of an accepted connection, its passing one
 * @param peer who is at the other end, once its hello has come
 * @param state what the connection does now, for example {@code ready}
 * @param outstanding requests that wait for a reply over it
 */
public record ConnectionSnapshot(
        Direction direction, InetSocketAddress address, Optional<PeerIdentity> peer, String state, int outstanding) {

    /** Who made a connection. */
    public enum Direction {
        MADE,
        ACCEPTED
    }
}
