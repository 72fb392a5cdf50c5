package io.beryldock.idempotency;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventSink;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * All ticket tables that live at this node: its own, and those whole ones that stopped nodes handed over to it.
 *
 * <p>Invariant: a table once handed over from here never comes back. Called on the control thread only.
 */
public final class TicketRegistry {

    private final TicketTable own;
    private final TicketSettings settings;
    private final Ticker ticker;
    private final RandomGenerator random;
    private final EventSink events;
    private final Map<TicketHome, TicketTable> adopted = new HashMap<>();
    /** Who holds the tables that this node has handed over. */
    private final Map<TicketHome, TicketHome> successors = new HashMap<>();

    private TicketRegistry(
            NodeDescriptor self, TicketSettings settings, Ticker ticker, RandomGenerator random, EventSink events) {
        this.own = TicketTable.create(self, settings, ticker, random, events);
        this.settings = settings;
        this.ticker = ticker;
        this.random = random;
        this.events = events;
    }

    public static TicketRegistry create(
            NodeDescriptor self, TicketSettings settings, Ticker ticker, RandomGenerator random, EventSink events) {
        return new TicketRegistry(self, settings, ticker, random, events);
    }

    /** The table of tickets that this node mints. */
    public TicketTable own() {
        return own;
    }

    /** Tables that stopped nodes handed over. */
    public ImmutableList<TicketTable> adopted() {
        return ImmutableList.copyOf(adopted.values());
    }

    /** The table that decides over the tickets of this home, when it lives here or lived here and is frozen. */
    Optional<TicketTable> table(TicketHome home) {
        return own.home().equals(home) ? Optional.of(own) : Optional.ofNullable(adopted.get(home));
    }

    /** Whether another table of this size may be adopted. */
    boolean hasRoom(int entries, long bytes) {
        forgetEmpty();
        long tickets = adopted.values().stream().mapToLong(TicketTable::size).sum();
        long held = adopted.values().stream().mapToLong(TicketTable::bytes).sum();
        return !own.frozen() && tickets + entries <= settings.maxTickets() && held + bytes <= settings.maxBytes();
    }

    private void forgetEmpty() {
        adopted.values().forEach(TicketTable::expire);
        adopted.values().removeIf(table -> table.size() == 0 && !table.frozen());
    }

    /** Takes over a whole table. */
    void adopt(TicketTransfer transfer) {
        boolean first = !own.frozen() && table(transfer.origin()).isEmpty();
        Invariants.check(events, first, transfer.origin().toString(), "a table must be adopted once, by a live node");
        adopted.put(transfer.origin(), TicketTable.adopt(transfer, settings, ticker, random, events));
    }

    /** Tickets of all tables whose end is awaited. */
    int inFlight() {
        return own.inFlight()
                + adopted.values().stream().mapToInt(TicketTable::inFlight).sum();
    }

    /** Freezes every table here, for ever, and gives what has to be handed over. */
    List<TicketTransfer> freezeAll() {
        Invariants.check(events, !own.frozen(), own.home().toString(), "tables must be frozen and handed over once");
        List<TicketTransfer> transfers = new ArrayList<>();
        transfers.add(own.freeze());
        adopted.values().forEach(table -> transfers.add(table.freeze()));
        return transfers;
    }

    /** Notes who holds a table now that was frozen here. */
    void handedOver(TicketHome origin, TicketHome successor) {
        successors.put(origin, successor);
    }

    /** Who decides over the tickets of this home instead of this node. */
    Optional<TicketHome> successor(TicketHome home) {
        return Optional.ofNullable(successors.get(home));
    }

    static CallResult unreachable() {
        return CallResult.unknown(Reason.HOME_GONE, "no node that may decide over the ticket can be reached");
    }
}
