package io.beryldock.idempotency;

import io.beryldock.peer.PeerHandler;

/**
 * All parts of one node that make keyed requests run at most once, wired together.
 *
 * <p>The parts are thread safe but for {@link #tickets()}, which belongs to the control thread.
 */
public final class KeyedRequests {

    private final TicketRegistry tickets;
    private final AnswerMemory memory;
    private final RunGuard guard;
    private final KeyedRequestCoordinator coordinator;
    private final TicketMessageHandler handler;
    private final TicketHandover handover;

    private KeyedRequests(IdempotencyPorts ports, TicketSettings settings, KeySettings keySettings) {
        tickets =
                TicketRegistry.create(ports.self(), settings, ports.timers().ticker(), ports.random(), ports.events());
        memory = AnswerMemory.create(settings, ports.timers().ticker());
        guard = RunGuard.create(memory);
        KeyBinder binder = KeyBinder.create(ports, keySettings);
        HomeGoneResolver resolver = HomeGoneResolver.create(ports.self(), ports.directory(), ports.peers(), memory);
        coordinator = new KeyedRequestCoordinator(ports, tickets, binder, resolver);
        handover = TicketHandover.create(ports, tickets, settings.handoverPartBytes());
        TicketReceiver receiver = TicketReceiver.create(
                TicketHome.of(ports.self()), tickets, ports.timers().ticker(), ports.events());
        handler = new TicketMessageHandler(coordinator, binder, receiver, memory, ports.control());
    }

    public static KeyedRequests create(IdempotencyPorts ports, TicketSettings settings, KeySettings keySettings) {
        return new KeyedRequests(ports, settings, keySettings);
    }

    /** For entry nodes: every call that has a key goes through it, before any check that may refuse the call. */
    public KeyedRequestCoordinator coordinator() {
        return coordinator;
    }

    /** For targets' nodes: every call that has a key goes through it, before any check that may refuse the call. */
    public RunGuard guard() {
        return guard;
    }

    /** To be registered at the transport for the topic TICKETS. */
    public PeerHandler handler() {
        return handler;
    }

    /** For a planned stop, on the control thread only. */
    public TicketHandover handover() {
        return handover;
    }

    /** Minting and figures, on the control thread only. */
    public TicketRegistry tickets() {
        return tickets;
    }

    public AnswerMemory memory() {
        return memory;
    }
}
