package io.beryldock.idempotency;

import io.beryldock.call.Call;
import io.beryldock.call.CallCodec;
import io.beryldock.call.CallResult;
import io.beryldock.call.NodeId;
import io.beryldock.call.Reason;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.wire.WireTicketNotHome;
import io.beryldock.wire.WireTicketPresent;
import io.beryldock.wire.WireTicketReferral;
import io.beryldock.wire.WireTicketReply;
import io.beryldock.wire.WireTicketRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Takes a keyed request at its entry node to the one place that decides over its key, and brings back what became of
 * it.
 *
 * <p>A request that has a ticket goes to the ticket's home; a caller's own key is bound to a ticket first. NOT_RUN is
 * told only when the key is closed; a message that may be lost, a home that can't be reached and a store that can't be
 * asked give UNKNOWN. A caller that hangs up cancels nothing: the answer is kept for its next try. Thread safe: all
 * work is done on the control executor.
 */
public final class KeyedRequestCoordinator {

    private final IdempotencyPorts ports;
    private final TicketRegistry tickets;
    private final KeyBinder binder;
    private final HomeGoneResolver resolver;
    private final HomeLocator locator;
    private final TicketDispatch dispatch;

    KeyedRequestCoordinator(
            IdempotencyPorts ports, TicketRegistry tickets, KeyBinder binder, HomeGoneResolver resolver) {
        this.ports = ports;
        this.tickets = tickets;
        this.binder = binder;
        this.resolver = resolver;
        this.locator = HomeLocator.of(ports.directory());
        this.dispatch = TicketDispatch.create(ports, resolver);
    }

    /** Handles a call that has a key: a ticket or the caller's own. */
    public CompletableFuture<CallResult> handle(Call call, CallerIdentity identity) {
        KeyedRequest request = KeyedRequest.of(call, identity, now());
        CompletableFuture<CallResult> told = new CompletableFuture<>();
        ports.control()
                .execute(() -> FutureCallbacks.onEnd(begin(request), (result, failure) -> tell(told, result, failure)));
        return Deadlines.bound(ports.timers(), told, request.timeLeft(now()));
    }

    private static void tell(CompletableFuture<CallResult> told, CallResult result, Throwable failure) {
        told.complete(failure == null ? result : CallResult.unknown(Reason.INTERNAL, String.valueOf(failure)));
    }

    private CompletableFuture<CallResult> begin(KeyedRequest request) {
        String key = request.call().key().orElseThrow();
        try {
            return TicketId.isTicket(key)
                    ? present(TicketId.parse(key), request)
                    : bindFirst(CallerKey.of(key), request);
        } catch (IllegalArgumentException e) {
            // No node reads such a key, so nothing can ever run under it.
            return CompletableFuture.completedFuture(CallResult.notRun(Reason.BAD_REQUEST, e.getMessage()));
        }
    }

    private CompletableFuture<CallResult> bindFirst(CallerKey key, KeyedRequest request) {
        if (tickets.own().frozen()) {
            CallResult stopping = CallResult.unknown(Reason.DRAINING, "send it to another node under the same key");
            return CompletableFuture.completedFuture(stopping);
        }
        Optional<TicketId> proposed = propose();
        KeyScope scope = KeyScope.of(request.scope().identity(), request.scope().fingerprint());
        return binder.bind(key, scope, proposed, request.timeLeft(now()))
                .thenComposeAsync(result -> bound(result, proposed, request), ports.control());
    }

    /** A new ticket for a key; none when the table is full, so that the key is closed if it is not bound yet. */
    private Optional<TicketId> propose() {
        try {
            return Optional.of(tickets.own().mint());
        } catch (TicketRefusedException e) {
            return Optional.empty();
        }
    }

    private CompletableFuture<CallResult> bound(BindResult result, Optional<TicketId> proposed, KeyedRequest request) {
        if (result instanceof BindResult.Unknown unknown) {
            // The proposed ticket stays: the store may still bind the key to it.
            return CompletableFuture.completedFuture(CallResult.unknown(unknown.reason(), unknown.detail()));
        }
        Optional<TicketId> chosen =
                result instanceof BindResult.Bound bound ? Optional.of(bound.ticket()) : Optional.empty();
        proposed.filter(ticket -> !chosen.equals(Optional.of(ticket)))
                .ifPresent(ticket -> tickets.own().release(ticket));
        if (chosen.isPresent()) {
            return present(chosen.get(), request);
        }
        boolean closed = result instanceof BindResult.Closed;
        return CompletableFuture.completedFuture(closed ? TicketTable.closed() : AnswerMemory.otherScope());
    }

    private CompletableFuture<CallResult> present(TicketId ticket, KeyedRequest request) {
        Optional<TicketHome> successor = tickets.successor(ticket.home());
        if (successor.isPresent()) {
            List<NodeDescriptor> holder =
                    locator.node(successor.get().node()).map(List::of).orElse(List.of());
            return presentTo(holder, ticket, request);
        }
        return tickets.table(ticket.home())
                .map(table -> dispatch.present(table, ticket, request))
                .orElseGet(() -> presentTo(locator.deciders(ticket.home()), ticket, request));
    }

    private CompletableFuture<CallResult> presentTo(
            List<NodeDescriptor> deciders, TicketId ticket, KeyedRequest request) {
        List<NodeDescriptor> others = deciders.stream()
                .filter(node -> !node.id().equals(ports.self().id()))
                .toList();
        return askAll(others, ticket, request)
                .thenComposeAsync(found -> foundOrSearch(found, ticket, request), ports.control());
    }

    private CompletableFuture<CallResult> foundOrSearch(
            Optional<CallResult> found, TicketId ticket, KeyedRequest request) {
        if (found.isPresent()) {
            return CompletableFuture.completedFuture(found.get());
        }
        Duration left = request.timeLeft(now());
        return resolver.search(ticket, request.call().service(), request.scope(), left)
                .thenApply(answer -> request.withoutDispatch(answer.orElse(TicketRegistry.unreachable())));
    }

    /** Asks them all at once: only the one that holds the ticket's table decides, whoever else is asked. */
    private CompletableFuture<Optional<CallResult>> askAll(
            List<NodeDescriptor> deciders, TicketId ticket, KeyedRequest request) {
        CompletableFuture<Optional<CallResult>> first = new CompletableFuture<>();
        if (deciders.isEmpty()) {
            first.complete(Optional.empty());
        }
        AtomicInteger awaited = new AtomicInteger(deciders.size());
        for (NodeDescriptor decider : deciders) {
            FutureCallbacks.onEnd(ask(decider, ticket, request), (result, failure) -> {
                if (failure == null && result.isPresent()) {
                    first.complete(result);
                }
                if (awaited.decrementAndGet() == 0) {
                    first.complete(Optional.empty());
                }
            });
        }
        return first;
    }

    private CompletableFuture<Optional<CallResult>> ask(NodeDescriptor decider, TicketId ticket, KeyedRequest request) {
        return askOnce(decider, ticket, request)
                .thenComposeAsync(reply -> followed(reply, decider, ticket, request), ports.control());
    }

    private CompletableFuture<Optional<CallResult>> followed(
            WireTicketReply reply, NodeDescriptor decider, TicketId ticket, KeyedRequest request) {
        Optional<NodeDescriptor> successor =
                successor(reply).filter(node -> !node.id().equals(decider.id()));
        if (successor.isEmpty()) {
            return CompletableFuture.completedFuture(result(reply));
        }
        if (successor.get().id().equals(ports.self().id())) {
            return tickets.table(ticket.home())
                    .map(table -> dispatch.present(table, ticket, request).thenApply(Optional::of))
                    .orElse(CompletableFuture.completedFuture(Optional.empty()));
        }
        return askOnce(successor.get(), ticket, request).thenApply(KeyedRequestCoordinator::result);
    }

    private Optional<NodeDescriptor> successor(WireTicketReply reply) {
        return reply.hasReferral() ? locator.node(NodeId.of(reply.getReferral().getSuccessor())) : Optional.empty();
    }

    private static Optional<CallResult> result(WireTicketReply reply) {
        return reply.hasResult() ? Optional.of(CallCodec.decode(reply.getResult())) : Optional.empty();
    }

    private CompletableFuture<WireTicketReply> askOnce(NodeDescriptor decider, TicketId ticket, KeyedRequest request) {
        long now = now();
        WireTicketPresent present = WireTicketPresent.newBuilder()
                .setTicket(ticket.toString())
                .setCall(CallCodec.encode(request.callAt(now)).toBuilder()
                        .setCallerIdentity(request.scope().identity().hash()))
                .build();
        WireTicketRequest message =
                WireTicketRequest.newBuilder().setPresent(present).build();
        return ports.peers().ask(decider, message, request.timeLeft(now));
    }

    /** Decides over a request that another node presents. On the control thread. */
    CompletableFuture<WireTicketReply> presented(WireTicketPresent present) {
        TicketId ticket = TicketId.parse(present.getTicket());
        CallerIdentity identity = new CallerIdentity(present.getCall().getCallerIdentity());
        KeyedRequest request = KeyedRequest.of(CallCodec.decode(present.getCall()), identity, now());
        Optional<TicketTable> table = tickets.table(ticket.home());
        Optional<TicketHome> successor = tickets.successor(ticket.home());
        if (successor.isPresent()) {
            return CompletableFuture.completedFuture(referral(successor.get()));
        }
        if (table.isEmpty()) {
            return CompletableFuture.completedFuture(notHome());
        }
        return Deadlines.bound(ports.timers(), dispatch.present(table.get(), ticket, request), request.timeLeft(now()))
                .thenApply(result -> WireTicketReply.newBuilder()
                        .setResult(CallCodec.encode(result))
                        .build());
    }

    private static WireTicketReply referral(TicketHome successor) {
        WireTicketReferral referral = WireTicketReferral.newBuilder()
                .setSuccessor(successor.node().value())
                .build();
        return WireTicketReply.newBuilder().setReferral(referral).build();
    }

    private static WireTicketReply notHome() {
        return WireTicketReply.newBuilder()
                .setNotHome(WireTicketNotHome.getDefaultInstance())
                .build();
    }

    private long now() {
        return ports.timers().ticker().nanos();
    }
}
