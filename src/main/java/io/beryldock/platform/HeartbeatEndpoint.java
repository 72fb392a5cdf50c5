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
 * HTTP endpoint for the heartbeats of the target in this VM. Thread safe.
 *
 * <p>A heartbeat is acknowledged only after the target's gate has applied it. Once the target's departure has been
 * acknowledged, the gate therefore refuses new work, even if other nodes still list the target as ready.
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
     * Creates an endpoint.
     *
     * @param ownService the service of the target in this VM
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
            case "PUT" -> handleHeartbeat(id, exchange);
            case "DELETE" ->
                targets.onEnded(id, Heartbeat.startedAt(exchange.body()))
                        .whenComplete((done, failure) -> acknowledge(exchange, failure));
            default -> exchange.answer(HttpAnswer.of(NOT_FOUND));
        }
    }

    private void handleHeartbeat(String id, HttpExchange exchange) {
        Optional<Heartbeat> heartbeat = Heartbeat.read(exchange.body(), ownService);
        if (heartbeat.isEmpty()) {
            log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "ignored an invalid heartbeat of target %s; a heartbeat must contain service %s, an address, slots,"
                            + " a known state and a sequence",
                    id, ownService);
            exchange.answer(HttpAnswer.of(BAD_REQUEST));
            return;
        }
        targets.onHeartbeat(id, heartbeat.get()).whenComplete((done, failure) -> acknowledge(exchange, failure));
    }

    private static void acknowledge(HttpExchange exchange, Throwable failure) {
        if (failure != null) {
            log.atSevere().withCause(failure).log("a heartbeat could not be processed");
            exchange.answer(HttpAnswer.of(INTERNAL));
            return;
        }
        Headers headers = Headers.empty().with("Content-Type", "application/json");
        exchange.answer(HttpAnswer.of(OK, headers, ByteString.copyFromUtf8("{}")));
    }
}
