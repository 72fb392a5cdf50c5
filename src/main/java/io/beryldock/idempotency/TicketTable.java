package io.beryldock.idempotency;

import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * The memory of one ticket home and the only place that decides over its tickets.
 *
 * <p>Invariants: a ticket is dispatched at most once; after an outcome that nobody knows it is never dispatched again;
 * a ticket for which NOT_RUN was told is closed and never runs later; an answer goes only to the identity and the
 * request that the ticket was first presented with; a frozen table never decides again. A ticket is forgotten only when
 * its lifetime or retention is over, and what was forgotten is never dispatched. Called on the control thread only.
 */
public final class TicketTable {

    private final TicketHome home;
    private final TicketSettings settings;
    private final Ticker ticker;
    private final RandomGenerator random;
    private final EventSink events;
    private final Map<Long, TicketEntry> entries = new HashMap<>();
    /** Counters of unused tickets, the oldest first. */
    private final Set<Long> unused = new LinkedHashSet<>();
    /** Counters of ended, closed and unknown tickets, the one longest unchanged first. */
    private final Set<Long> settled = new LinkedHashSet<>();

    private long lastCounter;
    private long bytes;
    private boolean mints;
    private boolean frozen;

    private TicketTable(
            TicketHome home, TicketSettings settings, Ticker ticker, RandomGenerator random, EventSink events) {
        this.home = home;
        this.settings = settings;
        this.ticker = ticker;
        this.random = random;
        this.events = events;
    }

    /** An empty table of this start of a node. */
    public static TicketTable create(
            NodeDescriptor self, TicketSettings settings, Ticker ticker, RandomGenerator random, EventSink events) {
        TicketTable table = new TicketTable(TicketHome.of(self), settings, ticker, random, events);
        table.mints = true;
        return table;
    }

    /** The whole table of another home, which has frozen it for ever. It mints no tickets. */
    static TicketTable adopt(
            TicketTransfer transfer, TicketSettings settings, Ticker ticker, RandomGenerator random, EventSink events) {
        TicketTable table = new TicketTable(transfer.origin(), settings, ticker, random, events);
        table.lastCounter = transfer.lastCounter();
        transfer.entries().forEach((counter, entry) -> table.insert(counter, entry));
        return table;
    }

    public TicketHome home() {
        return home;
    }

    /** Makes a ticket, or refuses when the table is full or frozen. */
    public TicketId mint() throws TicketRefusedException {
        if (!mints || frozen) {
            throw new TicketRefusedException(Reason.DRAINING, "the node is stopping; ask another node for a ticket");
        }
        expire();
        if (entries.size() >= settings.maxTickets() || bytes + TicketEntry.BASE_BYTES > settings.maxBytes()) {
            throw new TicketRefusedException(Reason.TICKETS_FULL, "the node forgets no ticket before its time");
        }
        lastCounter++;
        TicketId ticket = new TicketId(home, lastCounter, random.nextLong());
        insert(lastCounter, TicketEntry.minted(ticket.nonce(), ticker.nanos()));
        events.record(EventKind.TICKET_MINTED, ticket.toString(), "");
        return ticket;
    }

    /** Forgets an unused ticket that was told to nobody and that no key is or can become bound to. */
    void release(TicketId ticket) {
        TicketEntry entry = entries.get(ticket.counter());
        if (entry != null && entry.state() == TicketState.NEW) {
            remove(ticket.counter());
        }
    }

    /**
     * Decides over a keyed request.
     *
     * <p>The joiner is kept when the decision is Dispatch or Joined, and told by {@link #settled}.
     */
    public TicketDecision present(
            TicketId ticket, CallerIdentity identity, RequestFingerprint fingerprint, Joiner joiner) {
        if (!ticket.home().equals(home)) {
            throw new IllegalArgumentException("the table of " + home + " does not decide over " + ticket);
        }
        if (frozen) {
            return refuse(CallResult.unknown(Reason.DRAINING, "the ticket is being handed over; send it again"));
        }
        expire();
        TicketEntry entry = entries.get(ticket.counter());
        if (entry == null || entry.nonce() != ticket.nonce()) {
            return refuse(absent(ticket, entry));
        }
        TicketScope scope = new TicketScope(identity, fingerprint);
        if (entry.scope().isPresent() && !entry.scope().get().equals(scope)) {
            return refuse(CallResult.unknown(Reason.KEY_IN_USE, "nothing was run and nothing replayed for this one"));
        }
        return decide(ticket, entry, scope, joiner);
    }

    private TicketDecision decide(TicketId ticket, TicketEntry entry, TicketScope scope, Joiner joiner) {
        switch (entry.state()) {
            case NEW:
                return dispatch(ticket, entry, scope, joiner);
            case IN_FLIGHT:
                return join(entry, joiner);
            case ENDED:
                return new TicketDecision.Replay(entry.result().orElseThrow());
            case CLOSED:
                return refuse(closed());
            case UNKNOWN:
            default:
                return new TicketDecision.Settle(entry.result().orElseThrow());
        }
    }

    private TicketDecision dispatch(TicketId ticket, TicketEntry entry, TicketScope scope, Joiner joiner) {
        boolean first = entry.state() == TicketState.NEW && unused.contains(ticket.counter()) && !frozen;
        Invariants.check(events, first, ticket.toString(), "a ticket must be dispatched once and by its home only");
        entry.dispatch(scope, ticker.nanos());
        unused.remove(ticket.counter());
        entry.joiners().add(joiner);
        events.record(EventKind.TICKET_DISPATCHED, ticket.toString(), "");
        return new TicketDecision.Dispatch();
    }

    private TicketDecision join(TicketEntry entry, Joiner joiner) {
        if (entry.joiners().size() >= settings.maxJoiners()) {
            return refuse(CallResult.unknown(Reason.TICKETS_FULL, "too many requests wait for this one ticket"));
        }
        entry.joiners().add(joiner);
        return new TicketDecision.Joined();
    }

    /** What is told of a ticket that the table does not hold. */
    private CallResult absent(TicketId ticket, TicketEntry other) {
        boolean neverMinted = other != null || Long.compareUnsigned(ticket.counter(), lastCounter) > 0;
        if (neverMinted) {
            return CallResult.notRun(Reason.BAD_REQUEST, "this node never gave out such a ticket");
        }
        return CallResult.unknown(Reason.KEY_EXPIRED, "the ticket is forgotten and will not run any more");
    }

    /** What is told of a key that was refused before and can therefore never run. */
    static CallResult closed() {
        return CallResult.notRun(
                Reason.KEY_CLOSED, "it was refused earlier, ran nowhere and never will; send it under a new key");
    }

    /**
     * Takes what became of a dispatched ticket, and tells the joiners.
     *
     * <p>A late answer settles a ticket whose outcome was unknown; otherwise the first end stands. A frozen table only
     * tells its joiners: what it knew has been handed over.
     */
    public void settled(TicketId ticket, CallResult result) {
        TicketEntry entry = entries.get(ticket.counter());
        if (entry == null || entry.nonce() != ticket.nonce()) {
            return;
        }
        if (!frozen && (entry.state() == TicketState.IN_FLIGHT || settlesLate(entry, result))) {
            end(ticket.counter(), entry, result);
        }
        List<Joiner> joiners = List.copyOf(entry.joiners());
        entry.joiners().clear();
        joiners.forEach(joiner -> joiner.done(result));
    }

    private static boolean settlesLate(TicketEntry entry, CallResult result) {
        return entry.state() == TicketState.UNKNOWN && result.outcome() == Outcome.ANSWERED;
    }

    private void end(long counter, TicketEntry entry, CallResult result) {
        boolean dispatched = entry.state() != TicketState.NEW;
        Invariants.check(events, dispatched, home + " " + counter, "a ticket must be dispatched before it ends");
        bytes -= entry.bytes();
        switch (result.outcome()) {
            case ANSWERED -> endAnswered(entry, result);
            case NOT_RUN -> entry.end(TicketState.CLOSED, Optional.empty(), ticker.nanos());
            case UNKNOWN -> entry.end(TicketState.UNKNOWN, Optional.of(result), ticker.nanos());
        }
        bytes += entry.bytes();
        settled.remove(counter);
        settled.add(counter);
    }

    private void endAnswered(TicketEntry entry, CallResult result) {
        if (bytes + TicketEntry.BASE_BYTES + TicketEntry.sizeOf(result) <= settings.maxBytes()) {
            entry.end(TicketState.ENDED, Optional.of(result), ticker.nanos());
            return;
        }
        CallResult told = CallResult.unknown(Reason.TICKETS_FULL, "it ran; its answer was too large to be kept");
        entry.end(TicketState.UNKNOWN, Optional.of(told), ticker.nanos());
    }

    /**
     * Decides no more, for ever.
     *
     * <p>What is still in flight is handed over as unknown: the successor can't know its end, so it must not dispatch.
     */
    TicketTransfer freeze() {
        expire();
        frozen = true;
        return TicketTransfer.of(home, lastCounter, entries);
    }

    public boolean frozen() {
        return frozen;
    }

    /** Tickets held. */
    public int size() {
        return entries.size();
    }

    /** Estimated memory of the tickets and answers held. */
    public long bytes() {
        return bytes;
    }

    /** Tickets dispatched whose end is awaited. */
    public int inFlight() {
        return entries.size() - unused.size() - settled.size();
    }

    /** Forgets what is past its lifetime or retention. */
    void expire() {
        expire(unused, settings.unusedLifetime().toNanos());
        expire(settled, settings.retention().toNanos());
    }

    private void expire(Set<Long> oldestFirst, long lifetime) {
        long now = ticker.nanos();
        Iterator<Long> iterator = oldestFirst.iterator();
        while (iterator.hasNext()) {
            long counter = iterator.next();
            TicketEntry entry = entries.get(counter);
            if (now - entry.changedAt() < lifetime) {
                return;
            }
            iterator.remove();
            entries.remove(counter);
            bytes -= entry.bytes();
        }
    }

    private void insert(long counter, TicketEntry entry) {
        entries.put(counter, entry);
        bytes += entry.bytes();
        Set<Long> order = entry.state() == TicketState.NEW ? unused : settled;
        order.add(counter);
    }

    private void remove(long counter) {
        TicketEntry entry = entries.remove(counter);
        unused.remove(counter);
        bytes -= entry.bytes();
    }

    private static TicketDecision refuse(CallResult result) {
        return new TicketDecision.Refuse(result);
    }
}
