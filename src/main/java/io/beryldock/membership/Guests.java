package io.beryldock.membership;

import io.beryldock.call.NodeId;
import io.beryldock.time.Ticker;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Where nodes are reached that fetch the view before they join, and so are in nobody's view. Control thread only.
 */
final class Guests {

    private static final Duration STAY = Duration.ofSeconds(10);

    private record Guest(InetSocketAddress address, long at) {}

    private final Ticker ticker;
    private final Map<NodeId, Guest> guests = new LinkedHashMap<>();

    Guests(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Notes the address of a node that says where it is; what another says of it does not count. */
    void welcome(MemberRecord guest, NodeId from) {
        guests.values().removeIf(known -> !isFresh(known));
        if (guest.id().equals(from)) {
            guests.put(from, new Guest(guest.node().peerAddress(), ticker.nanos()));
        }
    }

    /** Notes that the node has joined. */
    void farewell(NodeId id) {
        guests.remove(id);
    }

    Optional<InetSocketAddress> addressOf(NodeId id) {
        return Optional.ofNullable(guests.get(id)).filter(this::isFresh).map(Guest::address);
    }

    private boolean isFresh(Guest guest) {
        return ticker.nanos() - guest.at() <= STAY.toNanos();
    }
}
