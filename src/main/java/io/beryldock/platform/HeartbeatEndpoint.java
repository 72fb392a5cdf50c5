package io.beryldock.platform;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.nettyhttp.HttpAnswer;
import io.beryldock.nettyhttp.HttpExchange;
import io.beryldock.nettyhttp.HttpHandler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Takes the heartbeats of the target in this VM. Thread safe.
 *
 * <p>A heartbeat is acknowledged after the gate has taken it in: from the acknowledgement of a leaving on, the gate
 * refuses new work, whatever other nodes believe.
 */
final class HeartbeatEndpoint implements HttpHandler {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final String PATH = "/instances/";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int INTERNAL = 500;

    private static final int LOG_SECONDS = 10;

    private final LocalTargets targets;
    private final String ownService;

    /**
     * An endpoint.
     *
     * @param ownService service of the target in this VM
     */
    HeartbeatEndpoint(LocalTargets targets, String ownService) {
        this.targets = targets;
        this.ownService = ownService;
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (!exchange.uri().startsWith(PATH)) {
            exchange.answer(HttpAnswer.of(NOT_FOUND));
            return;
        }
        String id = exchange.uri().substring(PATH.length());
        switch (exchange.method()) {
            case "PUT" -> beat(id, exchange);
            case "DELETE" ->
                targets.ended(id, Heartbeat.startedAt(exchange.body()))
                        .whenComplete((done, failure) -> acknowledge(exchange, failure));
            default -> exchange.answer(HttpAnswer.of(NOT_FOUND));
        }
    }

    private void beat(String id, HttpExchange exchange) {
        Optional<Heartbeat> beat = Heartbeat.read(exchange.body(), ownService);
        if (beat.isEmpty()) {
            log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "a heartbeat of the target %s can't be read and changes nothing; it must name the service %s, an"
                            + " address, slots, a known state and a sequence",
                    id, ownService);
            exchange.answer(HttpAnswer.of(BAD_REQUEST));
            return;
        }
        targets.heard(id, beat.get()).whenComplete((done, failure) -> acknowledge(exchange, failure));
    }

    private static void acknowledge(HttpExchange exchange, Throwable failure) {
        if (failure != null) {
            log.atSevere().withCause(failure).log("a heartbeat could not be taken in");
            exchange.answer(HttpAnswer.of(INTERNAL));
            return;
        }
        Headers headers = Headers.empty().with("Content-Type", "application/json");
        exchange.answer(HttpAnswer.of(OK, headers, ByteString.copyFromUtf8("{}")));
    }
}
