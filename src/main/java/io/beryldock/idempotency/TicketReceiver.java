package io.beryldock.idempotency;

import io.beryldock.call.CallCodec;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import io.beryldock.wire.WireTicketEntry;
import io.beryldock.wire.WireTicketHandoverReply;
import io.beryldock.wire.WireTicketOffer;
import io.beryldock.wire.WireTicketPart;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Receives the frozen tables of stopping nodes.
 *
 * <p>Invariants: a table is adopted only after all its parts have arrived; a table that was refused or timed out stays
 * refused, so that delayed copies of old messages cannot assemble a table that another node holds by then. Called on
 * the control thread only.
 */
final class TicketReceiver {

    /** Maximum time between the offer and the last part. */
    static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(60);

    private static final int MAX_DECISIONS = 10_000;

    private final TicketHome self;
    private final TicketRegistry tickets;
    private final Ticker ticker;
    private final EventSink events;
    private final Map<TicketHome, IncomingTable> incoming = new HashMap<>();
    /** Decisions on offered tables, oldest first: true if the table was adopted. */
    private final Map<TicketHome, Boolean> decisions = new LinkedHashMap<>();

    private TicketReceiver(TicketHome self, TicketRegistry tickets, Ticker ticker, EventSink events) {
        this.self = self;
        this.tickets = tickets;
        this.ticker = ticker;
        this.events = events;
    }

    static TicketReceiver create(TicketHome self, TicketRegistry tickets, Ticker ticker, EventSink events) {
        return new TicketReceiver(self, tickets, ticker, events);
    }

    WireTicketHandoverReply handleOffer(WireTicketOffer offer) {
        TicketHome origin = TicketHome.fromWire(offer.getOrigin());
        boolean addressedToSelf = isSelf(offer.getSuccessorHigh(), offer.getSuccessorLow());
        if (!addressedToSelf
                || decisions.containsKey(origin)
                || tickets.table(origin).isPresent()) {
            return reply(false);
        }
        if (!tickets.hasRoom(offer.getEntries(), offer.getBytes())) {
            return recordDecision(origin, false);
        }
        incoming.computeIfAbsent(origin, home -> new IncomingTable(offer, ticker.nanos()));
        return reply(true);
    }

    WireTicketHandoverReply handlePart(WireTicketPart part) {
        TicketHome origin = TicketHome.fromWire(part.getOrigin());
        if (!isSelf(part.getSuccessorHigh(), part.getSuccessorLow())) {
            return reply(false);
        }
        if (decisions.containsKey(origin)) {
            return reply(decisions.get(origin));
        }
        IncomingTable table = incoming.get(origin);
        boolean expired = table != null && ticker.nanos() - table.offeredAt > TRANSFER_TIMEOUT.toNanos();
        if (table == null || expired || tickets.own().frozen()) {
            return recordDecision(origin, false);
        }
        table.parts.put(part.getNumber(), part);
        if (table.parts.size() < table.offer.getParts()) {
            return reply(true);
        }
        tickets.adopt(table.transfer(origin));
        events.record(EventKind.TICKETS_HANDED_OVER, origin.node().value(), "taken over, whole");
        return recordDecision(origin, true);
    }

    private boolean isSelf(long high, long low) {
        return self.incarnation().high() == high && self.incarnation().low() == low;
    }

    private WireTicketHandoverReply recordDecision(TicketHome origin, boolean adopted) {
        incoming.remove(origin);
        decisions.put(origin, adopted);
        if (decisions.size() > MAX_DECISIONS) {
            decisions.remove(decisions.keySet().iterator().next());
        }
        return reply(adopted);
    }

    private static WireTicketHandoverReply reply(boolean accepted) {
        return WireTicketHandoverReply.newBuilder().setAccepted(accepted).build();
    }

    /** A table whose parts are still arriving. */
    private static final class IncomingTable {
        private final WireTicketOffer offer;
        private final long offeredAt;
        private final Map<Integer, WireTicketPart> parts = new HashMap<>();

        IncomingTable(WireTicketOffer offer, long offeredAt) {
            this.offer = offer;
            this.offeredAt = offeredAt;
        }

        TicketTransfer transfer(TicketHome origin) {
            Map<Long, TicketEntry> entries = new LinkedHashMap<>();
            for (int number = 0; number < offer.getParts(); number++) {
                parts.get(number).getEntriesList().forEach(entry -> entries.put(entry.getCounter(), decode(entry)));
            }
            return TicketTransfer.ofParts(origin, offer.getLastCounter(), entries);
        }

        /**
         * Decodes an entry. Its age counts from the offer, which precedes every part: otherwise a delayed part would
         * extend the lifetime of an unused ticket beyond the retention of its key's binding.
         */
        private TicketEntry decode(WireTicketEntry wire) {
            Optional<TicketScope> scope = wire.getFingerprint().isEmpty()
                    ? Optional.empty()
                    : Optional.of(new TicketScope(
                            new CallerIdentity(wire.getIdentity()), new RequestFingerprint(wire.getFingerprint())));
            return new TicketEntry(
                    wire.getNonce(),
                    TicketState.of(wire.getState()),
                    scope,
                    wire.hasResult() ? Optional.of(CallCodec.decode(wire.getResult())) : Optional.empty(),
                    offeredAt - wire.getAgeNanos());
        }
    }
}
