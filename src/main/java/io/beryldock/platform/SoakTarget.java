package io.beryldock.platform;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.nettyhttp.HttpAnswer;
import io.beryldock.nettyhttp.HttpExchange;
import io.beryldock.nettyhttp.HttpHandler;
import io.beryldock.soak.CallerRequest;
import io.beryldock.soak.NodePlace;
import io.beryldock.soak.Payload;
import io.beryldock.soak.Surroundings.Outcome;
import io.beryldock.soak.Surroundings.TargetEvents;
import io.beryldock.time.TimerService;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A target for the soak test: simulates work, makes an inner call if its service does so, and responds. At times it
 * refuses a share of what arrives, or its answers name a rate limit or its leaving.
 *
 * <p>Thread safe. Invariant: each execution is reported before the first byte of its response is sent.
 */
final class SoakTarget implements HttpHandler {

    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int NOT_RUN = 503;
    private static final int PERCENT = 100;
    private static final int FAILED = 500;
    private static final String BROWSE_PATH = "/browse/";

    /** The simulated work takes 5 to 100 ms, so that faults hit requests while they run. */
    private static final int MIN_WORK_MILLIS = 5;

    private static final int WORK_RANGE_MILLIS = 95;

    private final NodePlace place;
    private final TargetEvents events;
    private final InnerCaller caller;
    private final TimerService timers;
    private final AtomicLong innerCalls = new AtomicLong();
    private final AtomicLong arrivals = new AtomicLong();
    private final long createdAt;
    private long lastStart;

    SoakTarget(NodePlace place, TargetEvents events, InnerCaller caller, TimerService timers) {
        this.place = place;
        this.events = events;
        this.caller = caller;
        this.timers = timers;
        this.createdAt = timers.ticker().nanos();
        this.lastStart = conditions().start();
    }

    /** Id of the current start. */
    String id() {
        return id(conditions());
    }

    private String id(SoakConditions conditions) {
        return "soak-target-" + place.number() + "-" + conditions.start();
    }

    /** Whether the request may run in the start. */
    private boolean isFor(SoakConditions conditions, Headers request) {
        String current = id(conditions);
        return request.first(PlatformHeaders.EXPECTED_TARGET).orElse(current).equals(current);
    }

    /** Returns what the target names now; reports the next start before anything is named in it. */
    private synchronized SoakConditions conditions() {
        Duration age = Duration.ofNanos(timers.ticker().nanos() - createdAt);
        SoakConditions conditions = SoakConditions.at(place.number(), age);
        if (conditions.start() > lastStart) {
            lastStart = conditions.start();
            events.targetStarted(place.number());
        }
        return conditions;
    }

    /** Sends an inner call through the target's own node. */
    @FunctionalInterface
    interface InnerCaller {

        CompletableFuture<Outcome> send(NodePlace place, CallerRequest request, long remainingMillis);
    }

    @Override
    public void handle(HttpExchange exchange) {
        Headers headers = exchange.headers();
        String request = headers.first(PlatformHeaders.REQUEST_ID).orElse("");
        events.arrived(place.number(), request, place.service());
        SoakConditions conditions = conditions();
        if (!isFor(conditions, headers)) {
            exchange.answer(HttpAnswer.of(MISDIRECTED));
            return;
        }
        if (isRefused(request, conditions)) {
            exchange.answer(withNamed(
                    HttpAnswer.of(
                            NOT_RUN,
                            Headers.empty()
                                    .with(PlatformHeaders.REQUEST_ID, request)
                                    .with(PlatformHeaders.NOT_EXECUTED, "1"),
                            ByteString.EMPTY),
                    nameConditions(headers, request)));
            return;
        }
        String body = exchange.body().toString(StandardCharsets.UTF_8);
        events.ran(place.number(), request, place.service(), body);
        int millis = MIN_WORK_MILLIS + Math.floorMod(request.hashCode(), WORK_RANGE_MILLIS);
        timers.after(Duration.ofMillis(millis), () -> {
            if (exchange.uri().startsWith(BROWSE_PATH)) {
                sendInnerCall(exchange, request, body, millis);
            } else {
                answer(exchange, request, body, OK);
            }
        });
    }

    /** Draws anew at each arrival, so that a request that was refused may run when it is sent again. */
    private boolean isRefused(String request, SoakConditions conditions) {
        int drawn = Math.floorMod(Objects.hash(request, arrivals.incrementAndGet()), PERCENT);
        return drawn < conditions.refusedShare() * PERCENT;
    }

    /** Makes the inner call of a request; a request that runs again makes the call again under a new id. */
    private void sendInnerCall(HttpExchange exchange, String request, String body, int spentMillis) {
        long remaining = exchange.headers()
                        .first(PlatformHeaders.REMAINING_MILLIS)
                        .map(Long::parseLong)
                        .orElse(0L)
                - spentMillis;
        CallerRequest part = CallerRequest.part(request, place.number() + "-" + innerCalls.incrementAndGet());
        events.sent(place.number(), part);
        caller.send(place, part, remaining)
                .thenAccept(outcome ->
                        answer(exchange, request, body, outcome.reply().isSuccess() ? OK : FAILED));
    }

    /**
     * Returns what the answer to the request names: nothing if the request was sent to an earlier start. Reported under
     * the lock, so that no report of an earlier start follows that of the next one.
     */
    private synchronized SoakConditions nameConditions(Headers headers, String request) {
        SoakConditions conditions = conditions();
        if (!isFor(conditions, headers)) {
            return SoakConditions.NONE;
        }
        events.named(place.number(), request, conditions.ratePerSecond(), conditions.leaving());
        return conditions;
    }

    private void answer(HttpExchange exchange, String request, String body, int status) {
        SoakConditions named = nameConditions(exchange.headers(), request);
        Headers headers = Headers.empty()
                .with(PlatformHeaders.REQUEST_ID, request)
                .with(PlatformHeaders.SIGNATURE, "signed")
                .with("Content-Type", "text/plain");
        String text = status == OK ? Payload.answer(request, body) : "failed";
        exchange.answer(withNamed(HttpAnswer.of(status, headers, ByteString.copyFromUtf8(text)), named));
    }

    /** All answers of a target, also its refusals, name a limit while it holds. */
    private static HttpAnswer withNamed(HttpAnswer answer, SoakConditions named) {
        HttpAnswer limited = named.ratePerSecond() > 0
                ? answer.with(PlatformHeaders.RATE_LIMIT, Double.toString(named.ratePerSecond()))
                : answer;
        return named.leaving() ? limited.with(PlatformHeaders.LEAVING, "1") : limited;
    }
}
