package io.beryldock.idempotency;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Carries out what a table at this node decides over a keyed request.
 *
 * <p>Called on the control thread only; futures complete there or by timer.
 */
final class TicketDispatch {

    /** Wait past a request's time for its real end, before its ticket counts as unknown. */
    private static final Duration GRACE = Duration.ofSeconds(1);

    private final IdempotencyPorts ports;
    private final HomeGoneResolver resolver;

    private TicketDispatch(IdempotencyPorts ports, HomeGoneResolver resolver) {
        this.ports = ports;
        this.resolver = resolver;
    }

    static TicketDispatch create(IdempotencyPorts ports, HomeGoneResolver resolver) {
        return new TicketDispatch(ports, resolver);
    }

    CompletableFuture<CallResult> present(TicketTable table, TicketId ticket, KeyedRequest request) {
        if (request.timeLeft(ports.timers().ticker().nanos()).isZero()) {
            // Nobody waits any more. Sent on, it would be refused for lack of time, and its key closed for nothing.
            return CompletableFuture.completedFuture(request.withoutDispatch(Deadlines.overdue()));
        }
        CompletableFuture<CallResult> joined = new CompletableFuture<>();
        TicketScope scope = request.scope();
        TicketDecision decision = table.present(ticket, scope.identity(), scope.fingerprint(), joined::complete);
        if (decision instanceof TicketDecision.Dispatch) {
            dispatch(table, ticket, request);
            return joined;
        }
        if (decision instanceof TicketDecision.Joined) {
            return joined.thenApply(request::withoutDispatch);
        }
        if (decision instanceof TicketDecision.Replay replay) {
            return CompletableFuture.completedFuture(request.withoutDispatch(replay.result()));
        }
        if (decision instanceof TicketDecision.Refuse refuse) {
            return CompletableFuture.completedFuture(request.withoutDispatch(refuse.result()));
        }
        return settle(table, ticket, request, ((TicketDecision.Settle) decision).otherwise());
    }

    private void dispatch(TicketTable table, TicketId ticket, KeyedRequest request) {
        long now = ports.timers().ticker().nanos();
        Call call = request.callAt(now).withKey(ticket.toString());
        Duration limit = request.timeLeft(now).plus(GRACE);
        TimerService.Subscription overdue = ports.timers()
                .after(limit, () -> ports.control().execute(() -> table.settled(ticket, Deadlines.overdue())));
        FutureCallbacks.onEnd(attempt(call, request.scope().identity()), ports.control(), (result, failure) -> {
            overdue.cancel();
            ended(table, ticket, failure == null ? result : failed(failure));
        });
    }

    private CompletableFuture<CallResult> attempt(Call call, CallerIdentity identity) {
        try {
            return ports.dispatcher().dispatch(call, identity);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** The dispatcher broke down: the request may be under way. */
    private static CallResult failed(Throwable failure) {
        return CallResult.unknown(Reason.INTERNAL, String.valueOf(failure));
    }

    private void ended(TicketTable table, TicketId ticket, CallResult result) {
        if (result.outcome() == Outcome.UNKNOWN) {
            ports.events().record(EventKind.OUTCOME_UNKNOWN, ticket.toString(), result.detail());
        }
        table.settled(ticket, result);
    }

    private CompletableFuture<CallResult> settle(
            TicketTable table, TicketId ticket, KeyedRequest request, CallResult otherwise) {
        Duration left = request.timeLeft(ports.timers().ticker().nanos());
        return resolver.search(ticket, request.call().service(), request.scope(), left)
                .thenApplyAsync(found -> settled(table, ticket, request, found, otherwise), ports.control());
    }

    private static CallResult settled(
            TicketTable table,
            TicketId ticket,
            KeyedRequest request,
            Optional<CallResult> found,
            CallResult otherwise) {
        found.ifPresent(result -> table.settled(ticket, result));
        return request.withoutDispatch(found.orElse(otherwise));
    }
}
