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
 * Routes a keyed request from its entry node to the node that owns its ticket, and returns the result.
 *
 * <p>A request with a ticket goes to the ticket's home; a caller's own key is first bound to a ticket. NOT_RUN is
 * returned only if the key is closed, malformed or a ticket that was never minted. A lost message, an unreachable home
 * or an unavailable store yields UNKNOWN. A caller that disconnects cancels nothing: the answer is kept for its retry.
 * Thread safe: all work runs on the control executor.
 */
public final class KeyedRequestCoordinator {

    private final IdempotencyPorts ports;
    private final TicketRegistry tickets;
    private final KeyBinder binder;
    private final AnswerResolver resolver;
    private final HomeLocator locator;
    private final TicketDispatch dispatch;

    KeyedRequestCoordinator(IdempotencyPorts ports, TicketRegistry tickets, KeyBinder binder, AnswerResolver resolver) {
        this.ports = ports;
        this.tickets = tickets;
        this.binder = binder;
        this.resolver = resolver;
        this.locator = HomeLocator.of(ports.directory());
        this.dispatch = TicketDispatch.create(ports, resolver);
    }

    /** Handles a call with a key, which is either a ticket or the caller's own key. */
    public CompletableFuture<CallResult> handle(Call call, CallerIdentity identity) {
        KeyedRequest request = KeyedRequest.of(call, identity, now());
        CompletableFuture<CallResult> promise = new CompletableFuture<>();
        ports.control()
                .execute(() -> FutureCallbacks.onComplete(
                        route(request), (result, failure) -> complete(promise, result, failure)));
        return Deadlines.withTimeout(ports.timers(), promise, request.timeLeft(now()));
    }

    private static void complete(CompletableFuture<CallResult> promise, CallResult result, Throwable failure) {
        promise.complete(failure == null ? result : CallResult.unknown(Reason.INTERNAL, String.valueOf(failure)));
    }

    private CompletableFuture<CallResult> route(KeyedRequest request) {
        String key = request.call().key().orElseThrow();
        try {
            return TicketId.isTicket(key)
                    ? present(TicketId.parse(key), request)
                    : bindAndPresent(CallerKey.of(key), request);
        } catch (IllegalArgumentException e) {
            // Every node rejects a malformed key, so no request can run under it.
            return CompletableFuture.completedFuture(CallResult.notRun(Reason.BAD_REQUEST, e.getMessage()));
        }
    }

    private CompletableFuture<CallResult> bindAndPresent(CallerKey key, KeyedRequest request) {
        if (tickets.own().frozen()) {
            CallResult stopping = CallResult.unknown(Reason.DRAINING, "send it to another node under the same key");
            return CompletableFuture.completedFuture(stopping);
        }
        Optional<TicketId> proposed = propose();
        KeyScope scope = KeyScope.of(request.scope().identity(), request.scope().fingerprint());
        return binder.bind(key, scope, proposed, request.timeLeft(now()))
                .thenComposeAsync(result -> handleBindResult(result, proposed, request), ports.control());
    }

    /** Mints a ticket for a key; empty if the table is full, so that the key is closed if it is not bound yet. */
    private Optional<TicketId> propose() {
        try {
            return Optional.of(tickets.own().mint());
        } catch (TicketRefusedException e) {
            return Optional.empty();
        }
    }

    private CompletableFuture<CallResult> handleBindResult(
            BindResult result, Optional<TicketId> proposed, KeyedRequest request) {
        if (result instanceof BindResult.Unknown unknown) {
            // The proposed ticket is not released: the store may still bind the key to it.
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
        return CompletableFuture.completedFuture(closed ? TicketTable.keyClosed() : KeyedRunTable.keyInUse());
    }

    private CompletableFuture<CallResult> present(TicketId ticket, KeyedRequest request) {
        Optional<TicketHome> successor = tickets.successor(ticket.home());
        if (successor.isPresent()) {
            List<NodeDescriptor> holder =
                    locator.node(successor.get().node()).map(List::of).orElse(List.of());
            return presentRemotely(holder, ticket, request);
        }
        return tickets.table(ticket.home())
                .map(table -> dispatch.present(table, ticket, request))
                .orElseGet(() -> presentRemotely(locator.candidates(ticket.home()), ticket, request));
    }

    private CompletableFuture<CallResult> presentRemotely(
            List<NodeDescriptor> candidates, TicketId ticket, KeyedRequest request) {
        List<NodeDescriptor> others = candidates.stream()
                .filter(node -> !node.id().equals(ports.self().id()))
                .toList();
        return askAll(others, ticket, request)
                .thenComposeAsync(found -> resultOrSearch(found, ticket, request), ports.control());
    }

    private CompletableFuture<CallResult> resultOrSearch(
            Optional<CallResult> found, TicketId ticket, KeyedRequest request) {
        if (found.isPresent()) {
            return CompletableFuture.completedFuture(found.get());
        }
        Duration left = request.timeLeft(now());
        return resolver.search(ticket, request.call().service(), request.scope(), left)
                .thenApply(answer -> request.withUnspentAllowance(answer.orElse(TicketRegistry.homeUnreachable())));
    }

    /**
     * Queries all candidates in parallel. This is safe because only the node that holds the ticket's table acts on the
     * request.
     */
    private CompletableFuture<Optional<CallResult>> askAll(
            List<NodeDescriptor> candidates, TicketId ticket, KeyedRequest request) {
        CompletableFuture<Optional<CallResult>> first = new CompletableFuture<>();
        if (candidates.isEmpty()) {
            first.complete(Optional.empty());
        }
        AtomicInteger outstanding = new AtomicInteger(candidates.size());
        for (NodeDescriptor candidate : candidates) {
            FutureCallbacks.onComplete(ask(candidate, ticket, request), (result, failure) -> {
                if (failure == null && result.isPresent()) {
                    first.complete(result);
                }
                if (outstanding.decrementAndGet() == 0) {
                    first.complete(Optional.empty());
                }
            });
        }
        return first;
    }

    private CompletableFuture<Optional<CallResult>> ask(
            NodeDescriptor candidate, TicketId ticket, KeyedRequest request) {
        return askOnce(candidate, ticket, request)
                .thenComposeAsync(reply -> followReferral(reply, candidate, ticket, request), ports.control());
    }

    private CompletableFuture<Optional<CallResult>> followReferral(
            WireTicketReply reply, NodeDescriptor candidate, TicketId ticket, KeyedRequest request) {
        Optional<NodeDescriptor> successor =
                successor(reply).filter(node -> !node.id().equals(candidate.id()));
        if (successor.isEmpty()) {
            return CompletableFuture.completedFuture(decodeResult(reply));
        }
        if (successor.get().id().equals(ports.self().id())) {
            return tickets.table(ticket.home())
                    .map(table -> dispatch.present(table, ticket, request).thenApply(Optional::of))
                    .orElse(CompletableFuture.completedFuture(Optional.empty()));
        }
        return askOnce(successor.get(), ticket, request).thenApply(KeyedRequestCoordinator::decodeResult);
    }

    private Optional<NodeDescriptor> successor(WireTicketReply reply) {
        return reply.hasReferral() ? locator.node(NodeId.of(reply.getReferral().getSuccessor())) : Optional.empty();
    }

    private static Optional<CallResult> decodeResult(WireTicketReply reply) {
        return reply.hasResult() ? Optional.of(CallCodec.decode(reply.getResult())) : Optional.empty();
    }

    private CompletableFuture<WireTicketReply> askOnce(
            NodeDescriptor candidate, TicketId ticket, KeyedRequest request) {
        long now = now();
        WireTicketPresent present = WireTicketPresent.newBuilder()
                .setTicket(ticket.toString())
                .setCall(CallCodec.encode(request.callAt(now)).toBuilder()
                        .setCallerIdentity(request.scope().identity().hash()))
                .build();
        WireTicketRequest message =
                WireTicketRequest.newBuilder().setPresent(present).build();
        return ports.peers().ask(candidate, message, request.timeLeft(now));
    }

    /** Handles a request that another node forwards to this one. Called on the control thread. */
    CompletableFuture<WireTicketReply> handlePresent(WireTicketPresent present) {
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
        return Deadlines.withTimeout(
                        ports.timers(), dispatch.present(table.get(), ticket, request), request.timeLeft(now()))
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
