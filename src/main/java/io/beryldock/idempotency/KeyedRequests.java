package io.beryldock.idempotency;

import io.beryldock.peer.PeerHandler;

/**
 * Wires together the components of one node that run keyed requests at most once.
 *
 * <p>The components are thread safe except {@link #tickets()}, which is confined to the control thread.
 */
public final class KeyedRequests {

    private final TicketRegistry tickets;
    private final KeyedRunTable runTable;
    private final RunGuard guard;
    private final KeyedRequestCoordinator coordinator;
    private final TicketMessageHandler handler;
    private final TicketHandover handover;

    private KeyedRequests(IdempotencyPorts ports, TicketSettings settings, KeySettings keySettings) {
        tickets =
                TicketRegistry.create(ports.self(), settings, ports.timers().ticker(), ports.random(), ports.events());
        runTable = KeyedRunTable.create(settings, ports.timers().ticker());
        guard = RunGuard.create(runTable);
        KeyBinder binder = KeyBinder.create(ports, keySettings);
        AnswerResolver resolver = AnswerResolver.create(ports.self(), ports.directory(), ports.peers(), runTable);
        coordinator = new KeyedRequestCoordinator(ports, tickets, binder, resolver);
        handover = TicketHandover.create(ports, tickets, settings.handoverPartBytes());
        TicketReceiver receiver = TicketReceiver.create(
                TicketHome.of(ports.self()), tickets, ports.timers().ticker(), ports.events());
        handler = new TicketMessageHandler(coordinator, binder, receiver, runTable, ports.control());
    }

    public static KeyedRequests create(IdempotencyPorts ports, TicketSettings settings, KeySettings keySettings) {
        return new KeyedRequests(ports, settings, keySettings);
    }

    /**
     * Entry point at entry nodes: every call with a key must pass through it before any check that may refuse the call.
     */
    public KeyedRequestCoordinator coordinator() {
        return coordinator;
    }

    /**
     * Entry point at targets' nodes: every call with a key must pass through it before any check that may refuse the
     * call.
     */
    public RunGuard guard() {
        return guard;
    }

    /** Handler to register with the peer transport for the topic TICKETS. */
    public PeerHandler handler() {
        return handler;
    }

    /** Hands the tickets over in a planned stop; called on the control thread only. */
    public TicketHandover handover() {
        return handover;
    }

    /** Mints tickets and provides their counts; called on the control thread only. */
    public TicketRegistry tickets() {
        return tickets;
    }

    public KeyedRunTable runTable() {
        return runTable;
    }
}
