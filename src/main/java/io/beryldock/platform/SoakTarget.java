package io.beryldock.platform;

import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.nettyhttp.HttpAnswer;
import io.beryldock.soak.CallerRequest;
import io.beryldock.soak.NodePlace;
import io.beryldock.soak.Payload;
import io.beryldock.soak.Surroundings.Outcome;
import io.beryldock.soak.Surroundings.TargetEvents;
import io.beryldock.soak.TargetProfile;
import io.beryldock.time.TimerService;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A target for the soak test: simulates work, makes an inner call if its service does so, and responds. At times it
 * refuses a share of what arrives, its answers name a rate limit or its leaving, or its responses have defects.
 *
 * <p>Thread safe. Invariant: each execution is reported before the first byte of its response is sent.
 */
final class SoakTarget {

    /** Path at which the target tells whether its current start serves. */
    static final String HEALTH_PATH = "/health";

    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int NOT_RUN = 503;
    private static final int PERCENT = 100;
    private static final int FAILED = 500;
    private static final String UNSAFE_METHOD = "POST";
    private static final String BROWSE_PATH = "/browse/";

    /** The simulated work takes 5 to 100 ms, so that faults hit requests while they run. */
    private static final int MIN_WORK_MILLIS = 5;

    private static final int WORK_RANGE_MILLIS = 95;

    private final NodePlace place;
    private final TargetEvents events;
    private final InnerCaller caller;
    private final TargetProfile profile;
    private final SoakDefects defects;
    private final TimerService timers;
    private final AtomicLong innerCalls = new AtomicLong();
    private final AtomicLong arrivals = new AtomicLong();
    private final long createdAt;
    private long lastStart;
    private long replacements;
    private Optional<String> departedStart = Optional.empty();

    SoakTarget(
            NodePlace place,
            TargetEvents events,
            InnerCaller caller,
            TargetProfile profile,
            SoakDefects defects,
            TimerService timers) {
        this.place = place;
        this.events = events;
        this.caller = caller;
        this.profile = profile;
        this.defects = defects;
        this.timers = timers;
        this.createdAt = timers.ticker().nanos();
        this.lastStart = conditions().start();
    }

    /** Id of the current start. */
    String id() {
        return id(conditions());
    }

    private synchronized String id(SoakConditions conditions) {
        return departedStart.orElse("soak-target-" + place.number() + "-" + conditions.start() + "-" + replacements);
    }

    /** Has the current start depart, which serves on; returns its id, or empty if it has departed already. */
    synchronized Optional<String> leave() {
        if (hasDeparted()) {
            return Optional.empty();
        }
        departedStart = Optional.of(id());
        return departedStart;
    }

    /** Whether the current start has departed. */
    synchronized boolean hasDeparted() {
        return departedStart.isPresent();
    }

    /** Begins the next start if the current one has departed. */
    synchronized void startAnew() {
        if (hasDeparted()) {
            departedStart = Optional.empty();
            replacements++;
            events.targetStarted(place.number());
        }
    }

    /** Reports that the node has confirmed the departure of the start, unless the next one has begun. */
    synchronized void onDepartureConfirmed(String start) {
        if (departedStart.filter(start::equals).isPresent()) {
            events.departureConfirmed(place.number());
        }
    }

    /** Whether the request may run in the start. */
    private boolean isFor(SoakConditions conditions, Headers request) {
        String current = id(conditions);
        return request.first(PlatformHeaders.EXPECTED_TARGET).orElse(current).equals(current);
    }

    /**
     * Returns what the target names now; reports the next start before anything is named in it. A start that has
     * departed stays until it is replaced.
     */
    private synchronized SoakConditions conditions() {
        Duration age = Duration.ofNanos(timers.ticker().nanos() - createdAt);
        SoakConditions conditions = SoakConditions.at(profile, place.number(), age);
        if (conditions.start() > lastStart && !hasDeparted()) {
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

    /** Handles a request that arrives; it is answered later. */
    void handle(SoakExchange exchange) {
        if (exchange.uri().equals(HEALTH_PATH)) {
            exchange.answer(health(), SoakDefect.NONE);
            return;
        }
        Headers headers = exchange.headers();
        String request = headers.first(PlatformHeaders.REQUEST_ID).orElse("");
        events.arrived(place.number(), request, place.service());
        SoakConditions conditions = conditions();
        if (!isFor(conditions, headers)) {
            exchange.answer(refusal(request, MISDIRECTED), SoakDefect.NONE);
            return;
        }
        if (isRefused(request, conditions)) {
            respond(exchange, request, refusal(request, NOT_RUN));
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

    private HttpAnswer health() {
        Headers headers = Headers.empty().with(PlatformHeaders.TARGET_ID, id());
        return HttpAnswer.of(hasDeparted() ? NOT_RUN : OK, headers, ByteString.EMPTY);
    }

    private static HttpAnswer refusal(String request, int status) {
        Headers headers =
                Headers.empty().with(PlatformHeaders.REQUEST_ID, request).with(PlatformHeaders.NOT_EXECUTED, "1");
        return HttpAnswer.of(status, headers, ByteString.EMPTY);
    }

    /** Draws anew at each arrival, so that a request that was refused may run when it is sent again. */
    private boolean isRefused(String request, SoakConditions conditions) {
        int drawn = Math.floorMod(Objects.hash(request, arrivals.incrementAndGet()), PERCENT);
        return drawn < conditions.refusedShare() * PERCENT;
    }

    /** Makes the inner call of a request; a request that runs again makes the call again under a new id. */
    private void sendInnerCall(SoakExchange exchange, String request, String body, int spentMillis) {
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

    private void answer(SoakExchange exchange, String request, String body, int status) {
        Headers headers = Headers.empty()
                .with(PlatformHeaders.REQUEST_ID, request)
                .with(PlatformHeaders.SIGNATURE, "signed")
                .with("Content-Type", "text/plain");
        String text = status == OK ? Payload.answer(request, body) : "failed";
        respond(exchange, request, HttpAnswer.of(status, headers, ByteString.copyFromUtf8(text)));
    }

    /** Sends the answer with the defect drawn for it; nothing is named where its caller may not read it. */
    private void respond(SoakExchange exchange, String request, HttpAnswer answer) {
        SoakDefect defect = applicable(defects.next(), exchange, answer);
        HttpAnswer named =
                defect.isReadable() ? withNamed(answer, nameConditions(exchange.headers(), request)) : answer;
        exchange.answer(defect == SoakDefect.WITHOUT_MARK ? unmarkedRefusal(request) : named, defect);
    }

    private static SoakDefect applicable(SoakDefect drawn, SoakExchange exchange, HttpAnswer answer) {
        boolean applies =
                switch (drawn) {
                    case WITHOUT_MARK -> exchange.method().equals(UNSAFE_METHOD);
                    case WITHOUT_ID -> answer.status() == NOT_RUN;
                    default -> true;
                };
        return applies ? drawn : SoakDefect.NONE;
    }

    /** A status that usually is a refusal, whether the request has run or not. */
    private static HttpAnswer unmarkedRefusal(String request) {
        return HttpAnswer.of(NOT_RUN, Headers.empty().with(PlatformHeaders.REQUEST_ID, request), ByteString.EMPTY);
    }

    /** All answers of a target, also its refusals, name a limit while it holds. */
    private static HttpAnswer withNamed(HttpAnswer answer, SoakConditions named) {
        HttpAnswer limited = named.ratePerSecond() > 0
                ? answer.with(PlatformHeaders.RATE_LIMIT, Double.toString(named.ratePerSecond()))
                : answer;
        return named.leaving() ? limited.with(PlatformHeaders.LEAVING, "1") : limited;
    }
}
