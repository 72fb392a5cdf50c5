package io.beryldock.peer;

import com.google.protobuf.ByteString;
import com.sun.management.OperatingSystemMXBean;
import io.beryldock.time.ThreadTimerService;
import io.beryldock.timeline.EventSink;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Measures round trips between two transports in one process over the loopback interface; not run as a test.
 *
 * <p>Arguments: the seconds for each case, and the directory of the PEM files. CPU time is the sum of both ends.
 */
final class PeerRoundTripBenchmark {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int WARM_UP = 2000;
    private static final int CONNECTS = 2000;
    private static final int[] BODIES = {200, 20_000};
    private static final int[] CONCURRENCY = {1, 8, 64};

    private PeerRoundTripBenchmark() {}

    public static void main(String[] args) throws Exception {
        Duration time = Duration.ofSeconds(Long.parseLong(args[0]));
        Path keys = Path.of(args[1]);
        PeerTransportSettings clear = PeerTransportSettings.insecure(PeerPair.anyPort());
        PeerTransportSettings tls = PeerTransportSettings.secure(
                PeerPair.anyPort(),
                new PeerTlsFiles(
                        keys.resolve("node-a.pem"), keys.resolve("node-a.key.pem"), keys.resolve("fleet-ca.pem")));
        measureConnects(clear, "no");
        measureConnects(tls, "yes");
        System.out.println("tls   body  under-way  round-trips/s  p50-us  p99-us  cpu-us/round-trip");
        for (int body : BODIES) {
            for (int concurrency : CONCURRENCY) {
                measure(clear, body, concurrency, time, "no");
                measure(tls, body, concurrency, time, "yes");
            }
        }
    }

    private static void measure(PeerTransportSettings settings, int body, int concurrency, Duration time, String label)
            throws Exception {
        try (ThreadTimerService timers = ThreadTimerService.start("timer", Runnable::run);
                NettyPeerTransport a = transport(settings, "a", timers);
                NettyPeerTransport b = transport(settings, "b", timers)) {
            b.registerHandler(PeerTopic.CALL, message -> message.reply(message.body()));
            a.start();
            b.start();
            run(a, b, body, concurrency, time);
            Result result = run(a, b, body, concurrency, time);
            System.out.printf(
                    Locale.ROOT,
                    "%-4s %6d %10d %14.0f %7.0f %7.0f %18.1f%n",
                    label,
                    body,
                    concurrency,
                    result.perSecond,
                    result.p50Micros,
                    result.p99Micros,
                    result.cpuMicros);
        }
    }

    /** Measures the bytes, excluding TCP and IP headers, and the CPU time of a connection made for one request. */
    private static void measureConnects(PeerTransportSettings settings, String label) throws Exception {
        try (PeerPair pair = PeerPair.start(settings, settings)) {
            reconnect(pair, WARM_UP);
            long bytes = pair.relay.bytes();
            long cpu = pair.loopCpuNanos();
            reconnect(pair, CONNECTS);
            System.out.printf(
                    Locale.ROOT,
                    "connect with one request of 1 byte, tls %s: %d bytes, %.0f cpu-us of both ends%n",
                    label,
                    (pair.relay.bytes() - bytes) / CONNECTS,
                    (pair.loopCpuNanos() - cpu) / 1e3 / CONNECTS);
        }
    }

    private static void reconnect(PeerPair pair, int times) throws Exception {
        for (int i = 0; i < times; i++) {
            PeerPair.get(pair.request(PeerTopic.CALL, "x"));
            pair.relay.closeConnections();
            PeerPair.await(() -> pair.a.stats().connections().isEmpty());
        }
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    private static NettyPeerTransport transport(
            PeerTransportSettings settings, String name, ThreadTimerService timers) {
        return NettyPeerTransport.create(settings, PeerPair.identity(name), timers, EventSink.none());
    }

    private static Result run(NettyPeerTransport a, NettyPeerTransport b, int bodyBytes, int concurrency, Duration time)
            throws InterruptedException {
        RequestLoop requestLoop =
                new RequestLoop(a, b, ByteString.copyFrom(new byte[bodyBytes]), System.nanoTime() + time.toNanos());
        long cpu = cpuNanos();
        long start = System.nanoTime();
        CountDownLatch ended = new CountDownLatch(concurrency);
        for (int i = 0; i < concurrency; i++) {
            requestLoop.sendNext(ended);
        }
        ended.await();
        double seconds = (System.nanoTime() - start) / 1e9;
        long count = requestLoop.count.get();
        double cpuMicros = (cpuNanos() - cpu) / 1e3 / count;
        double p50 = requestLoop.times.getValueAtPercentile(50) / 1e3;
        return new Result(count / seconds, p50, requestLoop.times.getValueAtPercentile(99) / 1e3, cpuMicros);
    }

    /** Sends each request when the previous one has been answered, until the end of the run. */
    private static final class RequestLoop {
        private final NettyPeerTransport a;
        private final NettyPeerTransport b;
        private final ByteString body;
        private final long end;
        private final ConcurrentHistogram times = new ConcurrentHistogram(3);
        private final AtomicLong count = new AtomicLong();

        RequestLoop(NettyPeerTransport a, NettyPeerTransport b, ByteString body, long end) {
            this.a = a;
            this.b = b;
            this.body = body;
            this.end = end;
        }

        void sendNext(CountDownLatch ended) {
            long start = System.nanoTime();
            CompletableFuture<ByteString> reply = a.request(b.localAddress(), PeerTopic.CALL, body, TIMEOUT);
            var unused = reply.whenComplete((bytes, failure) -> {
                if (failure != null) {
                    throw new IllegalStateException(failure);
                }
                long now = System.nanoTime();
                times.recordValue(now - start);
                count.incrementAndGet();
                if (now < end) {
                    sendNext(ended);
                } else {
                    ended.countDown();
                }
            });
        }
    }

    private record Result(double perSecond, double p50Micros, double p99Micros, double cpuMicros) {}
}
