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
 * Takes the frozen tables of stopping nodes.
 *
 * <p>Invariants: a table is adopted only when every part of it is here; what was refused or given up is refused for
 * ever, so that copies of old messages can't put a table together that meanwhile lives elsewhere. Called on the control
 * thread only.
 */
final class TicketReceiver {

    /** Longest time between the offer and the last part. */
    static final Duration LIMIT = Duration.ofSeconds(60);

    private static final int MAX_REMEMBERED = 10_000;

    private final TicketHome self;
    private final TicketRegistry tickets;
    private final Ticker ticker;
    private final EventSink events;
    private final Map<TicketHome, IncomingTable> incoming = new HashMap<>();
    /** Whether the tables that were offered were taken, the oldest first. */
    private final Map<TicketHome, Boolean> decided = new LinkedHashMap<>();

    private TicketReceiver(TicketHome self, TicketRegistry tickets, Ticker ticker, EventSink events) {
        this.self = self;
        this.tickets = tickets;
        this.ticker = ticker;
        this.events = events;
    }

    static TicketReceiver create(TicketHome self, TicketRegistry tickets, Ticker ticker, EventSink events) {
        return new TicketReceiver(self, tickets, ticker, events);
    }

    WireTicketHandoverReply offered(WireTicketOffer offer) {
        TicketHome origin = TicketHome.fromWire(offer.getOrigin());
        boolean meant = isSelf(offer.getSuccessorHigh(), offer.getSuccessorLow());
        if (!meant || decided.containsKey(origin) || tickets.table(origin).isPresent()) {
            return reply(false);
        }
        if (!tickets.hasRoom(offer.getEntries(), offer.getBytes())) {
            return decide(origin, false);
        }
        incoming.computeIfAbsent(origin, home -> new IncomingTable(offer, ticker.nanos()));
        return reply(true);
    }

    WireTicketHandoverReply received(WireTicketPart part) {
        TicketHome origin = TicketHome.fromWire(part.getOrigin());
        if (!isSelf(part.getSuccessorHigh(), part.getSuccessorLow())) {
            return reply(false);
        }
        if (decided.containsKey(origin)) {
            return reply(decided.get(origin));
        }
        IncomingTable table = incoming.get(origin);
        boolean late = table != null && ticker.nanos() - table.offeredAt > LIMIT.toNanos();
        if (table == null || late || tickets.own().frozen()) {
            return decide(origin, false);
        }
        table.parts.put(part.getNumber(), part);
        if (table.parts.size() < table.offer.getParts()) {
            return reply(true);
        }
        tickets.adopt(table.transfer(origin));
        events.record(EventKind.TICKETS_HANDED_OVER, origin.node().value(), "taken over, whole");
        return decide(origin, true);
    }

    private boolean isSelf(long high, long low) {
        return self.incarnation().high() == high && self.incarnation().low() == low;
    }

    private WireTicketHandoverReply decide(TicketHome origin, boolean taken) {
        incoming.remove(origin);
        decided.put(origin, taken);
        if (decided.size() > MAX_REMEMBERED) {
            decided.remove(decided.keySet().iterator().next());
        }
        return reply(taken);
    }

    private static WireTicketHandoverReply reply(boolean accepted) {
        return WireTicketHandoverReply.newBuilder().setAccepted(accepted).build();
    }

    /** A table of which some parts are here. */
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
                parts.get(number).getEntriesList().forEach(entry -> entries.put(entry.getCounter(), read(entry)));
            }
            return TicketTransfer.whole(origin, offer.getLastCounter(), entries);
        }

        /**
         * The age counts from the offer, before any part was sent: a part that was long under way must not make an
         * unused ticket young again, since the binding of its key may be over by then.
         */
        private TicketEntry read(WireTicketEntry wire) {
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
