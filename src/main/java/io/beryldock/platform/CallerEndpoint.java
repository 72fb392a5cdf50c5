package io.beryldock.platform;

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
 * Takes the requests that begin in this VM, those of its clients and the inner calls of its target, and answers them in
 * the platform's statuses. Thread safe.
 */
final class CallerEndpoint implements HttpHandler {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Promises that the request has not run and never will. */
    private static final int NOT_RUN = 503;

    private static final int BAD_REQUEST = 400;
    private static final int FIRST_FAILURE = 400;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long MILLIS_PER_SECOND = 1000;
    private static final long START_MILLIS = 300;

    private final RequestHandler requests;
    private final String ownService;
    private final BooleanSupplier configured;
    private final BooleanSupplier stopping;
    private final DecisionLog decisions = DecisionLog.create(Ticker.system());

    /**
     * An endpoint.
     *
     * @param ownService service of the target in this VM, told to the targets that are called
     * @param configured whether any configuration is known; a node that knows none can't say that a route does not
     *     exist
     * @param stopping whether connections are closed with their next answer
     */
    CallerEndpoint(RequestHandler requests, String ownService, BooleanSupplier configured, BooleanSupplier stopping) {
        this.requests = requests;
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
        requests.handle(request.get(), scope).whenComplete((outcome, failure) -> {
            scope.close();
            if (failure != null) {
                log.atSevere().withCause(failure).log("the handling of %s failed", exchange.uri());
            }
            CallResult result = failure == null ? outcome.result() : CallResult.unknown(Reason.INTERNAL, "");
            end(exchange, outcome, result);
        });
    }

    /** Ends the exchange whatever fails: nobody else would, and its caller would wait for ever. */
    private void end(HttpExchange exchange, RequestOutcome outcome, CallResult result) {
        try {
            HttpAnswer answer = answer(exchange, result);
            note(exchange, outcome, result, answer.status());
            exchange.answer(stopping.getAsBoolean() ? answer.closing() : answer);
        } catch (RuntimeException | Error e) {
            log.atSevere().withCause(e).log("the result of %s could not be written", exchange.uri());
            exchange.answer(HttpAnswer.of(BAD_GATEWAY));
        }
    }

    /** Joins the id that the caller knows to ours, for whatever ended without success. */
    private void note(HttpExchange exchange, RequestOutcome outcome, CallResult result, int status) {
        if (outcome == null || status < FIRST_FAILURE) {
            return;
        }
        decisions.add(() -> {
            String asked = exchange.headers().first(PlatformHeaders.REQUEST_ID).orElse("");
            return new DecisionLine(DecisionLine.at("caller")
                    .put(DecisionLine.ASKED, asked)
                    .put(DecisionLine.WITHIN, PlatformHeaders.parentOf(asked).orElse(""))
                    .put(DecisionLine.ID, outcome.root().toString())
                    .put(DecisionLine.OUTCOME, result.outcome().name())
                    .put(DecisionLine.REASON, result.reason().map(Reason::name).orElse(""))
                    .put("status", Integer.toString(status))
                    .put(DecisionLine.DETAIL, result.detail())
                    .buildOrThrow());
        });
    }

    /** A node that has just started knows the document after one call of the store, some milliseconds. */
    private static HttpAnswer notConfigured() {
        return HttpAnswer.of(
                NOT_RUN, Headers.empty().with(PlatformHeaders.RETRY_AFTER, seconds(START_MILLIS)), ByteString.EMPTY);
    }

    private Optional<IncomingRequest> read(HttpExchange exchange) {
        Headers all = exchange.headers();
        Optional<String> host = all.first(PlatformHeaders.HOST);
        Optional<Duration> timeLimit;
        try {
            timeLimit = all.first(PlatformHeaders.TIME_LEFT_MILLIS)
                    .map(text -> Duration.ofMillis(Long.parseLong(text.trim())));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
        if (host.isEmpty()) {
            return Optional.empty();
        }
        Headers forwarded = HeaderFilter.withoutHopByHop(all)
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
                all.all(PlatformHeaders.CREDENTIAL),
                all.first(PlatformHeaders.REQUEST_ID).flatMap(PlatformHeaders::parentOf)));
    }

    /**
     * Stands for the caller, whom nothing tells from others: all callers of this VM come from its own address.
     *
     * <p>The address would shed all of them together or none, so that a level between the two admitted whole VMs and
     * refused others again and again.
     */
    private static String identity(HttpExchange exchange) {
        return exchange.headers()
                .first(PlatformHeaders.REQUEST_ID)
                .orElseGet(() -> exchange.remote().getAddress().getHostAddress());
    }

    private static boolean isSetByNodes(String name) {
        return name.equalsIgnoreCase(PlatformHeaders.TIME_LEFT_MILLIS)
                || name.equalsIgnoreCase(PlatformHeaders.EXPECTED_TARGET)
                || name.equalsIgnoreCase(PlatformHeaders.CALLER_SERVICE)
                || name.equalsIgnoreCase(PlatformHeaders.CREDENTIAL)
                || name.equalsIgnoreCase(PlatformHeaders.ORGANISATION);
    }

    private static HttpAnswer answer(HttpExchange exchange, CallResult result) {
        return result.answer()
                .map(CallerEndpoint::passedOn)
                .orElseGet(() -> failure(exchange, result, result.reason().orElse(Reason.INTERNAL)));
    }

    private static HttpAnswer passedOn(Answer answer) {
        return HttpAnswer.of(answer.status(), answer.headers(), answer.body());
    }

    private static HttpAnswer failure(HttpExchange exchange, CallResult result, Reason reason) {
        int status = status(result.outcome(), reason);
        String text = reason.message() + "; " + reason.remedy() + "\n";
        Headers headers = Headers.empty().with("Content-Type", "text/plain");
        Optional<String> id = exchange.headers().first(PlatformHeaders.REQUEST_ID);
        Headers echoed = id.isPresent() ? headers.with(PlatformHeaders.REQUEST_ID, id.get()) : headers;
        boolean returns = result.outcome() == Outcome.NOT_RUN && result.retryAfterMillis() > 0;
        Headers told = returns ? echoed.with(PlatformHeaders.RETRY_AFTER, seconds(result.retryAfterMillis())) : echoed;
        return HttpAnswer.of(status, told, ByteString.copyFromUtf8(text));
    }

    private static int status(Outcome outcome, Reason reason) {
        if (reason == Reason.NO_ROUTE || reason == Reason.UNKNOWN_KEY || reason == Reason.OVER_QUOTA) {
            return reason.status();
        }
        if (outcome == Outcome.NOT_RUN) {
            return NOT_RUN;
        }
        return reason == Reason.TIMED_OUT || reason == Reason.DEADLINE_PASSED ? GATEWAY_TIMEOUT : BAD_GATEWAY;
    }

    private static String seconds(long millis) {
        // Not by a formatter, which loads the rules of locales into a node that has just started.
        String fraction = Long.toString(MILLIS_PER_SECOND + millis % MILLIS_PER_SECOND);
        return millis / MILLIS_PER_SECOND + "." + fraction.substring(1);
    }
}
