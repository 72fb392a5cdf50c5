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
 * Executes the decisions that a ticket table of this node makes about keyed requests.
 *
 * <p>Called on the control thread only; futures complete there or on a timer.
 */
final class TicketDispatch {

    /** Time allowed beyond a request's deadline for its result to arrive, before its ticket becomes UNKNOWN. */
    private static final Duration GRACE = Duration.ofSeconds(1);

    private final IdempotencyPorts ports;
    private final AnswerResolver resolver;

    private TicketDispatch(IdempotencyPorts ports, AnswerResolver resolver) {
        this.ports = ports;
        this.resolver = resolver;
    }

    static TicketDispatch create(IdempotencyPorts ports, AnswerResolver resolver) {
        return new TicketDispatch(ports, resolver);
    }

    CompletableFuture<CallResult> present(TicketTable table, TicketId ticket, KeyedRequest request) {
        if (request.timeLeft(ports.timers().ticker().nanos()).isZero()) {
            // The caller no longer waits. Dispatching the request would have it refused for lack of time, which would
            // close its key needlessly.
            return CompletableFuture.completedFuture(request.withUnspentAllowance(Deadlines.timedOut()));
        }
        CompletableFuture<CallResult> joined = new CompletableFuture<>();
        TicketScope scope = request.scope();
        TicketDecision decision = table.present(ticket, scope.identity(), scope.fingerprint(), joined::complete);
        if (decision instanceof TicketDecision.Dispatch) {
            dispatch(table, ticket, request);
            return joined;
        }
        if (decision instanceof TicketDecision.Joined) {
            return joined.thenApply(request::withUnspentAllowance);
        }
        if (decision instanceof TicketDecision.Replay replay) {
            return CompletableFuture.completedFuture(request.withUnspentAllowance(replay.result()));
        }
        if (decision instanceof TicketDecision.Refuse refuse) {
            return CompletableFuture.completedFuture(request.withUnspentAllowance(refuse.result()));
        }
        return resolveUnknown(table, ticket, request, ((TicketDecision.Resolve) decision).otherwise());
    }

    private void dispatch(TicketTable table, TicketId ticket, KeyedRequest request) {
        long now = ports.timers().ticker().nanos();
        Call call = request.callAt(now).withKey(ticket.toString());
        Duration limit = request.timeLeft(now).plus(GRACE);
        TimerService.Subscription timeoutTimer = ports.timers()
                .after(limit, () -> ports.control().execute(() -> table.recordResult(ticket, Deadlines.timedOut())));
        FutureCallbacks.onComplete(attempt(call, request.scope().identity()), ports.control(), (result, failure) -> {
            timeoutTimer.cancel();
            recordResult(table, ticket, failure == null ? result : failureResult(failure));
        });
    }

    private CompletableFuture<CallResult> attempt(Call call, CallerIdentity identity) {
        try {
            return ports.dispatcher().dispatch(call, identity);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Result for an exception in the dispatcher: the request may have been sent. */
    private static CallResult failureResult(Throwable failure) {
        return CallResult.unknown(Reason.INTERNAL, String.valueOf(failure));
    }

    private void recordResult(TicketTable table, TicketId ticket, CallResult result) {
        if (result.outcome() == Outcome.UNKNOWN) {
            ports.events().record(EventKind.OUTCOME_UNKNOWN, ticket.toString(), result.detail());
        }
        table.recordResult(ticket, result);
    }

    private CompletableFuture<CallResult> resolveUnknown(
            TicketTable table, TicketId ticket, KeyedRequest request, CallResult otherwise) {
        Duration left = request.timeLeft(ports.timers().ticker().nanos());
        return resolver.search(ticket, request.call().service(), request.scope(), left)
                .thenApplyAsync(found -> recordFound(table, ticket, request, found, otherwise), ports.control());
    }

    private static CallResult recordFound(
            TicketTable table,
            TicketId ticket,
            KeyedRequest request,
            Optional<CallResult> found,
            CallResult otherwise) {
        found.ifPresent(result -> table.recordResult(ticket, result));
        return request.withUnspentAllowance(found.orElse(otherwise));
    }
}
