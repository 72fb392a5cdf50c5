package io.beryldock.platform;

import io.beryldock.eventloop.EventLoops;
import io.beryldock.eventloop.LoopTimerService;
import io.beryldock.nettyhttp.HttpClient;
import io.beryldock.nettyhttp.HttpClientSettings;
import io.beryldock.nettyhttp.HttpServer;
import io.beryldock.nettyhttp.HttpServerLimits;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A store stand-in and a client that is connected to it over the loopback interface. */
final class StorePair implements AutoCloseable {

    private static final HttpServerLimits LIMITS =
            new HttpServerLimits(16 << 10, 1 << 20, Duration.ofSeconds(60), Duration.ofSeconds(60));

    private final EventLoops loops = EventLoops.create(1);
    private final LoopTimerService timers = LoopTimerService.on(loops);
    final StandinStore store = new StandinStore(timers);
    final KvStoreClient client;
    private final HttpServer server;

    StorePair() throws IOException, InterruptedException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = HttpServer.bind(any, loops, () -> LIMITS, store);
        HttpClient http = HttpClient.create(
                new HttpClientSettings(Duration.ofSeconds(5), Duration.ofSeconds(60), Duration.ofSeconds(60), 1 << 20),
                loops);
        client = KvStoreClient.create(server.address(), http);
    }

    /** Waits in real time for the result of the call; no assertion depends on how long it takes. */
    static <T> T get(CompletableFuture<T> call) throws InterruptedException, ExecutionException, TimeoutException {
        return call.get(10, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        server.close();
        loops.close();
    }
}
