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
 * All ticket tables held by this node: its own table and the tables adopted from stopped nodes.
 *
 * <p>Invariant: a table that was handed over from this node never returns to it. Called on the control thread only.
 */
public final class TicketRegistry {

    private final TicketTable own;
    private final TicketSettings settings;
    private final Ticker ticker;
    private final RandomGenerator random;
    private final EventSink events;
    private final Map<TicketHome, TicketTable> adopted = new HashMap<>();
    /** Current holders of the tables that this node has handed over. */
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

    /** The table of the tickets minted by this node. */
    public TicketTable own() {
        return own;
    }

    /** Tables adopted from stopped nodes. */
    public ImmutableList<TicketTable> adopted() {
        return ImmutableList.copyOf(adopted.values());
    }

    /** Table for the tickets of this home, if this node holds it or held it before it was frozen. */
    Optional<TicketTable> table(TicketHome home) {
        return own.home().equals(home) ? Optional.of(own) : Optional.ofNullable(adopted.get(home));
    }

    /** Whether a table of this size can be adopted within the limits. */
    boolean hasRoom(int entries, long bytes) {
        removeEmptyTables();
        long ticketsHeld =
                adopted.values().stream().mapToLong(TicketTable::size).sum();
        long bytesHeld = adopted.values().stream().mapToLong(TicketTable::bytes).sum();
        return !own.frozen()
                && ticketsHeld + entries <= settings.maxTickets()
                && bytesHeld + bytes <= settings.maxBytes();
    }

    private void removeEmptyTables() {
        adopted.values().forEach(TicketTable::expire);
        adopted.values().removeIf(table -> table.size() == 0 && !table.frozen());
    }

    /** Adopts a complete table. */
    void adopt(TicketTransfer transfer) {
        boolean adoptable = !own.frozen() && table(transfer.origin()).isEmpty();
        Invariants.check(
                events, adoptable, transfer.origin().toString(), "a table must be adopted once, by a live node");
        adopted.put(transfer.origin(), TicketTable.adopt(transfer, settings, ticker, random, events));
    }

    /** Number of tickets in flight, over all tables. */
    int inFlight() {
        return own.inFlight()
                + adopted.values().stream().mapToInt(TicketTable::inFlight).sum();
    }

    /** Permanently freezes all tables of this node and returns their contents for handover. */
    List<TicketTransfer> freezeAll() {
        Invariants.check(events, !own.frozen(), own.home().toString(), "tables must be frozen and handed over once");
        List<TicketTransfer> transfers = new ArrayList<>();
        transfers.add(own.freeze());
        adopted.values().forEach(table -> transfers.add(table.freeze()));
        return transfers;
    }

    /** Records the new holder of a table that was frozen at this node. */
    void recordHandover(TicketHome origin, TicketHome successor) {
        successors.put(origin, successor);
    }

    /** Home that took over the tickets of {@code home} from this node, if any. */
    Optional<TicketHome> successor(TicketHome home) {
        return Optional.ofNullable(successors.get(home));
    }

    static CallResult homeUnreachable() {
        return CallResult.unknown(Reason.HOME_GONE, "no node that may decide over the ticket can be reached");
    }
}
