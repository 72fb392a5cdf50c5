package io.beryldock.platform;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.call.Answer;
import io.beryldock.call.CallResult;
import io.beryldock.call.Headers;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.forwarding.CancelScope;
import io.beryldock.forwarding.IncomingRequest;
import io.beryldock.forwarding.IncomingRequest.Origin;
import io.beryldock.forwarding.RequestHandler;
import io.beryldock.forwarding.RequestOutcome;
import io.beryldock.http.HeaderFilter;
import io.beryldock.logging.DecisionLine;
import io.beryldock.logging.DecisionLog;
import io.beryldock.nettyhttp.HttpAnswer;
import io.beryldock.nettyhttp.HttpExchange;
import io.beryldock.nettyhttp.HttpHandler;
import io.beryldock.time.Ticker;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * HTTP endpoint for the requests that originate in this VM: requests of its clients and inner calls of its target. Maps
 * the results to the platform's statuses. Thread safe.
 */
final class CallerEndpoint implements HttpHandler {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Guarantees that the request has not run and will not run. */
    private static final int NOT_RUN = 503;

    /** Reasons of refusals that callers can tell apart by the status. */
    private static final ImmutableSet<Reason> OWN_STATUS =
            Sets.immutableEnumSet(Reason.NO_ROUTE, Reason.UNKNOWN_KEY, Reason.OVER_QUOTA);

    private static final int BAD_REQUEST = 400;
    private static final int FIRST_FAILURE = 400;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final long STARTUP_RETRY_MILLIS = 300;

    private final RequestHandler handler;
    private final String ownService;
    private final BooleanSupplier configured;
    private final BooleanSupplier stopping;
    private final DecisionLog decisions = DecisionLog.create(Ticker.system());

    /**
     * Creates an endpoint.
     *
     * @param ownService the service of the target in this VM, passed to the targets that are called
     * @param configured whether the node has a configuration; without one it cannot decide that a route does not exist
     * @param stopping whether connections are closed with their next response
     */
    CallerEndpoint(RequestHandler handler, String ownService, BooleanSupplier configured, BooleanSupplier stopping) {
        this.handler = handler;
        this.ownService = ownService;
        this.configured = configured;
        this.stopping = stopping;
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (!configured.getAsBoolean()) {
            exchange.answer(notConfigured());
            return;
        }
        Optional<IncomingRequest> request = read(exchange);
        if (request.isEmpty()) {
            exchange.answer(HttpAnswer.of(BAD_REQUEST));
            return;
        }
        CancelScope scope = CancelScope.create();
        exchange.onGone(scope::cancel);
        handler.handle(request.get(), scope).whenComplete((outcome, failure) -> {
            scope.close();
            if (failure != null) {
                log.atSevere().withCause(failure).log("handling the request %s failed", exchange.uri());
            }
            CallResult result = failure == null ? outcome.result() : CallResult.unknown(Reason.INTERNAL, "");
            complete(exchange, outcome, result);
        });
    }

    /** Completes the exchange even if writing the result fails, because otherwise its caller would wait for ever. */
    private void complete(HttpExchange exchange, RequestOutcome outcome, CallResult result) {
        try {
            HttpAnswer answer = answer(exchange, result);
            logFailure(exchange, outcome, result, answer.status());
            exchange.answer(stopping.getAsBoolean() ? answer.closing() : answer);
        } catch (RuntimeException | Error e) {
            log.atSevere().withCause(e).log("the result of request %s could not be written", exchange.uri());
            exchange.answer(HttpAnswer.of(BAD_GATEWAY));
        }
    }

    /** Logs a request that ended without success, with both the caller's request id and the node's own. */
    private void logFailure(HttpExchange exchange, RequestOutcome outcome, CallResult result, int status) {
        if (outcome == null || status < FIRST_FAILURE) {
            return;
        }
        decisions.add(() -> {
            String requestId =
                    exchange.headers().first(PlatformHeaders.REQUEST_ID).orElse("");
            return new DecisionLine(DecisionLine.at("caller")
                    .put(DecisionLine.ASKED, requestId)
                    .put(
                            DecisionLine.WITHIN,
                            PlatformHeaders.parentOf(requestId).orElse(""))
                    .put(DecisionLine.ID, outcome.root().toString())
                    .put(DecisionLine.OUTCOME, result.outcome().name())
                    .put(DecisionLine.REASON, result.reason().map(Reason::name).orElse(""))
                    .put("status", Integer.toString(status))
                    .put(DecisionLine.DETAIL, result.detail())
                    .buildOrThrow());
        });
    }

    /**
     * The response before a configuration is known: a starting node needs one store call, a few milliseconds, for it.
     */
    private static HttpAnswer notConfigured() {
        return HttpAnswer.of(
                NOT_RUN,
                Headers.empty().with(PlatformHeaders.RETRY_AFTER, seconds(STARTUP_RETRY_MILLIS)),
                ByteString.EMPTY);
    }

    private Optional<IncomingRequest> read(HttpExchange exchange) {
        Headers headers = exchange.headers();
        Optional<String> host = headers.first(PlatformHeaders.HOST);
        Optional<Duration> timeLimit;
        try {
            timeLimit = headers.first(PlatformHeaders.REMAINING_MILLIS)
                    .map(text -> Duration.ofMillis(Long.parseLong(text.trim())));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
        if (host.isEmpty()) {
            return Optional.empty();
        }
        Headers forwarded = HeaderFilter.withoutHopByHop(headers)
                .without(CallerEndpoint::isSetByNodes)
                .with(PlatformHeaders.CALLER_SERVICE, ownService);
        return Optional.of(new IncomingRequest(
                Origin.EITHER,
                exchange.method(),
                exchange.uri(),
                forwarded,
                exchange.body(),
                Optional.empty(),
                Optional.empty(),
                identity(exchange),
                host.get(),
                timeLimit,
                headers.all(PlatformHeaders.CREDENTIAL),
                headers.first(PlatformHeaders.REQUEST_ID).flatMap(PlatformHeaders::parentOf)));
    }

    /**
     * The identity by which load shedding orders callers: the request id, or the remote address if there is none.
     *
     * <p>All callers in this VM have the VM's own address and cannot be told apart by it. Ordered by the address, they
     * would be shed all together or not at all, so a partial admission level would admit all requests of some VMs and
     * repeatedly refuse all requests of others.
     */
    private static String identity(HttpExchange exchange) {
        return exchange.headers()
                .first(PlatformHeaders.REQUEST_ID)
                .orElseGet(() -> exchange.remote().getAddress().getHostAddress());
    }

    private static boolean isSetByNodes(String name) {
        return name.equalsIgnoreCase(PlatformHeaders.REMAINING_MILLIS)
                || name.equalsIgnoreCase(PlatformHeaders.EXPECTED_TARGET)
                || name.equalsIgnoreCase(PlatformHeaders.CALLER_SERVICE)
                || name.equalsIgnoreCase(PlatformHeaders.CREDENTIAL)
                || name.equalsIgnoreCase(PlatformHeaders.ORGANISATION);
    }

    private static HttpAnswer answer(HttpExchange exchange, CallResult result) {
        return result.answer()
                .map(CallerEndpoint::forwardedAnswer)
                .orElseGet(() -> failure(exchange, result, result.reason().orElse(Reason.INTERNAL)));
    }

    private static HttpAnswer forwardedAnswer(Answer answer) {
        return HttpAnswer.of(answer.status(), answer.headers(), answer.body());
    }

    private static HttpAnswer failure(HttpExchange exchange, CallResult result, Reason reason) {
        int status = status(result.outcome(), reason);
        String text = reason.message() + "; " + reason.remedy() + "\n";
        Headers headers = Headers.empty().with("Content-Type", "text/plain");
        Optional<String> id = exchange.headers().first(PlatformHeaders.REQUEST_ID);
        Headers withId = id.isPresent() ? headers.with(PlatformHeaders.REQUEST_ID, id.get()) : headers;
        boolean mayRetry = result.outcome() == Outcome.NOT_RUN && result.retryAfterMillis() > 0;
        Headers responseHeaders =
                mayRetry ? withId.with(PlatformHeaders.RETRY_AFTER, seconds(result.retryAfterMillis())) : withId;
        return HttpAnswer.of(status, responseHeaders, ByteString.copyFromUtf8(text));
    }

    /** The outcome comes first: a status that promises that the request has not run needs that outcome. */
    private static int status(Outcome outcome, Reason reason) {
        if (outcome == Outcome.NOT_RUN) {
            return OWN_STATUS.contains(reason) ? reason.status() : NOT_RUN;
        }
        return reason == Reason.TIMED_OUT || reason == Reason.DEADLINE_PASSED ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    }

    private static String seconds(long millis) {
        // No formatter, because it would load locale data into a node that has just started.
        String fraction = Long.toString(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND);
        return millis / MILLIS_PER_SECOND + "." + fraction.substring(1);
    }
}
