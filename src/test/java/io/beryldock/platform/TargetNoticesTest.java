package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.admission.GateSettings;
import io.beryldock.admission.TargetGate;
import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.call.Headers;
import io.beryldock.call.Outcome;
import io.beryldock.call.ServiceName;
import io.beryldock.eventloop.EventLoops;
import io.beryldock.forwarding.AnnouncedTarget;
import io.beryldock.forwarding.CancelScope;
import io.beryldock.forwarding.ExecutionRegistry;
import io.beryldock.forwarding.TargetCrashDetector;
import io.beryldock.forwarding.TargetExecutor;
import io.beryldock.forwarding.TargetFixtures;
import io.beryldock.forwarding.TargetProcessState;
import io.beryldock.nettyhttp.HttpAnswer;
import io.beryldock.nettyhttp.HttpClient;
import io.beryldock.nettyhttp.HttpClientSettings;
import io.beryldock.nettyhttp.HttpExchange;
import io.beryldock.nettyhttp.HttpServer;
import io.beryldock.nettyhttp.HttpServerLimits;
import io.beryldock.quarantine.Quarantine;
import io.beryldock.retry.ArrivalControl;
import io.beryldock.retry.RetryLedger;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a node sends to a target that names conditions in its answers. The gate's clock is set by hand. */
final class TargetNoticesTest {

    private static final ServiceName LISTS = ServiceName.of("lists");
    private static final String ID = "i-1";
    private static final double RATE = 20;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration WINDOW = Duration.ofSeconds(4);

    /** Time limit that a busy machine does not reach; the client measures it by the system's clock. */
    private static final Duration LONG_LIMIT = Duration.ofMinutes(1);

    /** Requests that a target may get in a window according to the platform's contract. */
    private static final int ALLOWED = (int) (1.5 * RATE * WINDOW.toSeconds()) + 5;

    private final ManualTimerService time = ManualTimerService.create();
    private final EventLoops loops = EventLoops.create(1);
    private final TargetGate gate = TargetGate.create(
            GateSettings.ofAnnouncedSlots().withAnnouncedSlots(100), time, new Random(1), EventSink.none(), LISTS);
    private final List<Long> arrivals = new ArrayList<>();
    private final AtomicInteger unended = new AtomicInteger();
    private volatile Headers notices = Headers.empty();
    private HttpServer server;
    private TargetExecutor executor;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        HttpServerLimits limits = new HttpServerLimits(1 << 14, 1 << 20, Duration.ofMinutes(1), Duration.ofMinutes(1));
        server = HttpServer.bind(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), loops, () -> limits, this::answer);
        executor = TargetExecutor.create(ports());
    }

    @AfterEach
    void stop() {
        server.close();
        loops.close();
    }

    private TargetExecutor.Ports ports() {
        HttpClient http = HttpClient.create(
                new HttpClientSettings(Duration.ofSeconds(10), Duration.ofMinutes(1), Duration.ofMinutes(1), 1 << 20),
                loops);
        PlatformTargetClient client =
                new PlatformTargetClient(http, () -> Optional.of(new LocalTarget(ID, server.address())));
        Quarantine quarantine = TargetFixtures.quarantine(time);
        TargetCrashDetector crashes = TargetFixtures.crashDetector(TargetProcessState.GOES_ON, quarantine, time);
        return new TargetExecutor.Ports(
                () -> Optional.of(new AnnouncedTarget(LISTS, server.address(), gate)),
                client,
                ExecutionRegistry.create(),
                RetryLedger.create(),
                quarantine,
                null,
                crashes,
                load -> {},
                ArrivalControl.unlimited(time.ticker()),
                time,
                EventSink.none());
    }

    private void answer(HttpExchange exchange) {
        synchronized (arrivals) {
            arrivals.add(time.ticker().nanos());
        }
        String id = exchange.headers().first(PlatformHeaders.REQUEST_ID).orElseThrow();
        List<Headers.Header> headers = new ArrayList<>(notices.list());
        headers.add(new Headers.Header(PlatformHeaders.REQUEST_ID, id));
        headers.add(new Headers.Header(PlatformHeaders.SIGNATURE, "signed"));
        exchange.answer(HttpAnswer.of(200, Headers.of(headers), ByteString.EMPTY));
    }

    /** Runs the task where answers arrive: the timers set by hand are not thread safe. */
    private <T> T onLoop(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, loops.next()).join();
    }

    private void advance(Duration step) {
        onLoop(() -> {
            time.advance(step);
            return step;
        });
    }

    private CompletableFuture<CallResult> send(Duration timeLimit) {
        Call call = TargetFixtures.read(
                "/lists/1", timeLimit, id -> Headers.empty().with(PlatformHeaders.REQUEST_ID, id.toString()));
        unended.incrementAndGet();
        CompletableFuture<CallResult> result = onLoop(() -> executor.execute(call, CancelScope.create()));
        result.whenComplete((ended, failure) -> unended.decrementAndGet());
        return result;
    }

    /** Waits until each request has ended or is queued at the gate. */
    private void awaitAnswers() {
        while (gate.snapshot().inFlight() > 0 || unended.get() > gate.snapshot().queued()) {
            Thread.onSpinWait();
        }
    }

    private void sendAndAwait(int requests) {
        for (int i = 0; i < requests; i++) {
            send(Duration.ofSeconds(1));
        }
        awaitAnswers();
    }

    private void sendFor(Duration duration, int requestsPerStep) {
        for (Duration spent = Duration.ZERO; spent.compareTo(duration) < 0; spent = spent.plus(STEP)) {
            sendAndAwait(requestsPerStep);
            advance(STEP);
            awaitAnswers();
        }
    }

    private int arrived() {
        synchronized (arrivals) {
            return arrivals.size();
        }
    }

    private long mostInWindow(long sinceNanos) {
        synchronized (arrivals) {
            return arrivals.stream()
                    .filter(start -> start >= sinceNanos)
                    .mapToLong(start -> arrivals.stream()
                            .filter(at -> at >= start && at - start <= WINDOW.toNanos())
                            .count())
                    .max()
                    .orElse(0);
        }
    }

    /** Guards against a target in need that is sent all requests that its slots allow although it named a rate. */
    @Test
    void targetThatNamesRateGetsNoMoreThanThatRate() {
        sendFor(Duration.ofSeconds(1), 2);
        notices = Headers.empty().with("Server-Limit", Double.toString(RATE));
        sendAndAwait(1);
        long named = time.ticker().nanos();
        sendFor(Duration.ofSeconds(10), 2);
        assertThat(mostInWindow(named)).isBetween((long) (RATE * WINDOW.toSeconds()) - 5, (long) ALLOWED);
    }

    /** Guards against requests to a target that says in its answers that it leaves and that no heartbeat reports. */
    @Test
    void targetThatSaysItLeavesGetsNoFurtherRequest() {
        notices = Headers.empty().with("Server-Leaving", "1");
        CompletableFuture<CallResult> first = send(LONG_LIMIT);
        awaitAnswers();
        assertThat(first.join().outcome()).isEqualTo(Outcome.ANSWERED);
        advance(Duration.ofSeconds(2));
        CompletableFuture<CallResult> later = send(LONG_LIMIT);
        awaitAnswers();
        assertThat(arrived()).isEqualTo(1);
        assertThat(later.join().outcome()).isEqualTo(Outcome.NOT_RUN);
    }
}
