package io.beryldock.idempotency;

import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventSink;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * All ticket tables that live at this node: its own, and those whole ones that stopped nodes handed over to it.
 *
 * <p>Called on the control thread only.
 */
public final class TicketRegistry {

    private final TicketTable own;
    private final Map<TicketHome, TicketTable> adopted = new HashMap<>();
    /** Who holds the tables that this node has handed over. */
    private final Map<TicketHome, TicketHome> successors = new HashMap<>();

    private TicketRegistry(TicketTable own) {
        this.own = own;
    }

    public static TicketRegistry create(
            NodeDescriptor self, TicketSettings settings, Ticker ticker, RandomGenerator random, EventSink events) {
        return new TicketRegistry(TicketTable.create(self, settings, ticker, random, events));
    }

    /** The table of tickets that this node mints. */
    public TicketTable own() {
        return own;
    }

    /** The table that decides over the tickets of this home, when it lives here. */
    Optional<TicketTable> table(TicketHome home) {
        return own.home().equals(home) ? Optional.of(own) : Optional.ofNullable(adopted.get(home));
    }

    /** Who was told to decide over the tickets of this home instead of this node. */
    Optional<TicketHome> successor(TicketHome home) {
        return Optional.ofNullable(successors.get(home));
    }

    static CallResult unreachable() {
        return CallResult.unknown(Reason.HOME_GONE, "no node that may decide over the ticket can be reached");
    }
}
