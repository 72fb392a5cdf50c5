package io.beryldock.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.nettyhttp.HttpCall;
import io.beryldock.nettyhttp.HttpClient;
import io.beryldock.soak.NodePlace;
import io.beryldock.time.TimerService;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The heartbeats of the soak's targets to their nodes: regular ones, departures, and heartbeats that were sent before a
 * departure and arrive after it.
 *
 * <p>Thread safe.
 */
final class SoakHeartbeats {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int SLOTS = 8;
    private static final int FIRST_FAILURE = 300;
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    /** More than a node requires as the proof of a running start. */
    private static final int LATE_HEARTBEATS = 3;

    private static final int LATEST_MILLIS = 9_000;

    /** A delayed heartbeat is lost if the node does not listen for so long. */
    private static final int MAX_LATE_TRIES = 50;

    private final String dataCentre;
    private final HttpClient client;
    private final TimerService timers;
    private final SplittableRandom random;
    private final AtomicLong sequence = new AtomicLong();

    SoakHeartbeats(String dataCentre, HttpClient client, TimerService timers, long seed) {
        this.dataCentre = dataCentre;
        this.client = client;
        this.timers = timers;
        this.random = new SplittableRandom(seed);
    }

    /** One start of a target with the addresses of both sides. Immutable. */
    private record Start(String id, NodePlace place, InetSocketAddress target) {}

    /** Sends the regular heartbeat; a start that has departed sends none. */
    void announce(NodePlace place, InetSocketAddress address, SoakTarget target) {
        if (!target.hasDeparted()) {
            Start start = new Start(target.id(), place, address);
            send(heartbeat(start, "ready", sequence.incrementAndGet()), place).thenAccept(confirmed -> {
                if (!confirmed) {
                    log.atFine().log("%s did not confirm the heartbeat of its target; it may be down", place.name());
                }
            });
        }
    }

    /** Announces the departure of the current start until the node has confirmed it. */
    void leave(NodePlace place, InetSocketAddress address, SoakTarget target) {
        target.leave().ifPresent(id -> {
            Start start = new Start(id, place, address);
            long firstLate = sequence.getAndAdd(LATE_HEARTBEATS + 1) + 1;
            HttpCall departure = nextBoolean()
                    ? HttpCall.of("DELETE", path(start), host(), ByteString.EMPTY)
                    : heartbeat(start, "draining", firstLate + LATE_HEARTBEATS);
            depart(start, departure, firstLate, target);
        });
    }

    private void depart(Start start, HttpCall departure, long firstLate, SoakTarget target) {
        send(departure, start.place()).thenAccept(confirmed -> {
            if (confirmed) {
                target.onDepartureConfirmed(start.id());
                sendLate(start, firstLate);
            } else if (target.hasDeparted()) {
                timers.after(RETRY_DELAY, () -> depart(start, departure, firstLate, target));
            }
        });
    }

    /** Delivers heartbeats from before the departure, each at a time of its own or all at once. */
    private void sendLate(Start start, long first) {
        boolean together = nextBoolean();
        int common = nextMillis();
        for (int i = 0; i < LATE_HEARTBEATS; i++) {
            HttpCall late = heartbeat(start, "ready", first + i);
            timers.after(
                    Duration.ofMillis(together ? common : nextMillis()),
                    () -> deliver(late, start.place(), MAX_LATE_TRIES));
        }
    }

    private void deliver(HttpCall late, NodePlace place, int tries) {
        send(late, place).thenAccept(confirmed -> {
            if (!confirmed && tries > 1) {
                timers.after(RETRY_DELAY, () -> deliver(late, place, tries - 1));
            }
        });
    }

    /** Completes with whether the node has confirmed the call in time. */
    private CompletableFuture<Boolean> send(HttpCall call, NodePlace place) {
        return client.send(place.heartbeats(), call, CONFIRMATION_TIMEOUT)
                .handle((reply, failure) -> failure == null && reply.status() < FIRST_FAILURE);
    }

    private HttpCall heartbeat(Start start, String state, long number) {
        ObjectNode body = Json.object().put("address", SoakSurroundings.text(start.target()));
        body.putObject("info")
                .put("service", start.place().service())
                .put("version", "v1")
                .put("zone", dataCentre)
                .put("slots", SLOTS);
        body.putObject("status").put("state", state).put("sequence", number).put("coldRemainingS", 0);
        return HttpCall.of("PUT", path(start), host(), Json.write(body));
    }

    private static String path(Start start) {
        return "/instances/" + start.id();
    }

    private static Headers host() {
        return Headers.empty().with(PlatformHeaders.HOST, "node");
    }

    private synchronized boolean nextBoolean() {
        return random.nextBoolean();
    }

    private synchronized int nextMillis() {
        return random.nextInt(LATEST_MILLIS);
    }
}
