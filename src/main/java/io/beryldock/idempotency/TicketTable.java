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
 * State of all tickets of one home, and the only place where decisions about them are made.
 *
 * <p>Invariants: a ticket is dispatched at most once and never again after an UNKNOWN outcome; a ticket for which
 * NOT_RUN was reported is closed and never runs later; an answer is returned only to the identity and request with
 * which the ticket was first presented; a frozen table makes no further decisions. A ticket is removed only after its
 * lifetime or retention period, and a removed ticket is never dispatched. Called on the control thread only.
 */
public final class TicketTable {

    private final TicketHome home;
    private final TicketSettings settings;
    private final Ticker ticker;
    private final RandomGenerator random;
    private final EventSink events;
    private final Map<Long, TicketEntry> entries = new HashMap<>();
    /** Counters of unused tickets, oldest first. */
    private final Set<Long> unused = new LinkedHashSet<>();
    /** Counters of ended, closed and unknown tickets, ordered by last change, oldest first. */
    private final Set<Long> settled = new LinkedHashSet<>();

    private long lastCounter;
    private long bytes;
    private boolean mintsTickets;
    private boolean frozen;

    private TicketTable(
            TicketHome home, TicketSettings settings, Ticker ticker, RandomGenerator random, EventSink events) {
        this.home = home;
        this.settings = settings;
        this.ticker = ticker;
        this.random = random;
        this.events = events;
    }

    /** Creates an empty table for this incarnation of the node. */
    public static TicketTable create(
            NodeDescriptor self, TicketSettings settings, Ticker ticker, RandomGenerator random, EventSink events) {
        TicketTable table = new TicketTable(TicketHome.of(self), settings, ticker, random, events);
        table.mintsTickets = true;
        return table;
    }

    /**
     * Creates a table from the contents of another home's table, which that home has permanently frozen. It mints no
     * tickets.
     */
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

    /** Mints a ticket; throws if the table is full or frozen. */
    public TicketId mint() throws TicketRefusedException {
        if (!mintsTickets || frozen) {
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

    /** Removes an unused ticket that was returned to no caller and that no key is or can become bound to. */
    void release(TicketId ticket) {
        TicketEntry entry = entries.get(ticket.counter());
        if (entry != null && entry.state() == TicketState.NEW) {
            remove(ticket.counter());
        }
    }

    /**
     * Decides how to handle a keyed request.
     *
     * <p>The joiner is kept if the decision is Dispatch or Joined, and is called by {@link #recordResult}.
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
            return refuse(missingTicketResult(ticket, entry));
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
                return refuse(keyClosed());
            case UNKNOWN:
            default:
                return new TicketDecision.Resolve(entry.result().orElseThrow());
        }
    }

    private TicketDecision dispatch(TicketId ticket, TicketEntry entry, TicketScope scope, Joiner joiner) {
        boolean allowed = entry.state() == TicketState.NEW && unused.contains(ticket.counter()) && !frozen;
        Invariants.check(events, allowed, ticket.toString(), "a ticket must be dispatched once and by its home only");
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

    /** Result for a ticket that is not in the table. */
    private CallResult missingTicketResult(TicketId ticket, TicketEntry other) {
        boolean neverMinted = other != null || Long.compareUnsigned(ticket.counter(), lastCounter) > 0;
        if (neverMinted) {
            return CallResult.notRun(Reason.BAD_REQUEST, "this node never gave out such a ticket");
        }
        return CallResult.unknown(Reason.KEY_EXPIRED, "the ticket is forgotten and will not run any more");
    }

    /** Result for a key that was refused before and therefore never runs. */
    static CallResult keyClosed() {
        return CallResult.notRun(
                Reason.KEY_CLOSED, "it was refused earlier, ran nowhere and never will; send it under a new key");
    }

    /**
     * Records the result of a dispatched ticket and passes it to the joiners.
     *
     * <p>A late answer resolves a ticket whose outcome was UNKNOWN; otherwise the first result is final. A frozen table
     * only calls its joiners, because its state has already been handed over.
     */
    public void recordResult(TicketId ticket, CallResult result) {
        TicketEntry entry = entries.get(ticket.counter());
        if (entry == null || entry.nonce() != ticket.nonce()) {
            return;
        }
        if (!frozen && (entry.state() == TicketState.IN_FLIGHT || isLateAnswer(entry, result))) {
            applyResult(ticket.counter(), entry, result);
        }
        List<Joiner> joiners = List.copyOf(entry.joiners());
        entry.joiners().clear();
        joiners.forEach(joiner -> joiner.onResult(result));
    }

    private static boolean isLateAnswer(TicketEntry entry, CallResult result) {
        return entry.state() == TicketState.UNKNOWN && result.outcome() == Outcome.ANSWERED;
    }

    private void applyResult(long counter, TicketEntry entry, CallResult result) {
        boolean dispatched = entry.state() != TicketState.NEW;
        Invariants.check(events, dispatched, home + " " + counter, "a ticket must be dispatched before it ends");
        bytes -= entry.bytes();
        switch (result.outcome()) {
            case ANSWERED -> applyAnswer(entry, result);
            case NOT_RUN -> entry.end(TicketState.CLOSED, Optional.empty(), ticker.nanos());
            case UNKNOWN -> entry.end(TicketState.UNKNOWN, Optional.of(result), ticker.nanos());
        }
        bytes += entry.bytes();
        settled.remove(counter);
        settled.add(counter);
    }

    private void applyAnswer(TicketEntry entry, CallResult result) {
        if (bytes + TicketEntry.BASE_BYTES + TicketEntry.sizeOf(result) <= settings.maxBytes()) {
            entry.end(TicketState.ENDED, Optional.of(result), ticker.nanos());
            return;
        }
        CallResult notStored = CallResult.unknown(Reason.TICKETS_FULL, "it ran; its answer was too large to be kept");
        entry.end(TicketState.UNKNOWN, Optional.of(notStored), ticker.nanos());
    }

    /**
     * Freezes the table permanently and returns its contents.
     *
     * <p>Tickets still in flight are handed over as UNKNOWN: the successor cannot learn their outcome, so it must not
     * dispatch them.
     */
    TicketTransfer freeze() {
        expire();
        frozen = true;
        return TicketTransfer.of(home, lastCounter, entries);
    }

    public boolean frozen() {
        return frozen;
    }

    /** Number of tickets, in any state. */
    public int size() {
        return entries.size();
    }

    /** Estimated memory of the tickets and stored answers, in bytes. */
    public long bytes() {
        return bytes;
    }

    /** Number of dispatched tickets whose outcome is pending. */
    public int inFlight() {
        return entries.size() - unused.size() - settled.size();
    }

    /** Removes tickets whose lifetime or retention period has passed. */
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
