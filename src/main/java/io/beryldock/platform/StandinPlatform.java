package io.beryldock.platform;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.eventloop.EventLoops;
import io.beryldock.forwarding.Addresses;
import io.beryldock.nettyhttp.HttpAnswer;
import io.beryldock.nettyhttp.HttpCall;
import io.beryldock.nettyhttp.HttpClient;
import io.beryldock.nettyhttp.HttpClientSettings;
import io.beryldock.nettyhttp.HttpExchange;
import io.beryldock.nettyhttp.HttpReply;
import io.beryldock.nettyhttp.HttpServer;
import io.beryldock.nettyhttp.HttpServerLimits;
import io.beryldock.peer.PeerStartException;
import io.beryldock.settings.SettingsException;
import io.beryldock.time.ThreadTimerService;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A minimal platform on the loopback interface: a store, a target with its node, and a second node. It serves the
 * training run in which the Java virtual machine records the classes that a node loads. Its client has the API key of
 * an organisation with a quota. Thread safe; may be closed once.
 */
public final class StandinPlatform implements AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Name of the threads of the stand-ins and of the client; the threads of the nodes have other names. */
    public static final String THREAD_NAME = "standin";

    private static final String HOST = "trial.example";
    private static final String SERVICE = "trial";
    private static final String TARGET = "trial-target";
    private static final String ORGANISATION = "trial-organisation";
    private static final String KEY = "trial-key";
    private static final int BAD_REQUEST = 400;
    private static final int SLOTS = 8;
    private static final int OK = 200;
    private static final int MAX_ATTEMPTS_PER_SUCCESS = 4;
    private static final int REQUESTS_PER_HEARTBEAT = 50;
    private static final long RETRY_PAUSE_MILLIS = 50;
    private static final long RESPONSE_TIMEOUT_SECONDS = 5;
    private static final HttpServerLimits SERVER_LIMITS =
            new HttpServerLimits(16 << 10, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
    private static final String DOCUMENT = """
            {"version":"00000001","routes":{"r1":{"hostname":"%s","pathPrefix":"/trial/","type":"safe","timeoutS":5,
            "targetLatencyS":1,"priority":0,"service":"%s","attempts":2}},"services":{},
            "limits":{"maxHeaderBytes":16384,
            "maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
            "tenants":{"%s":{"apiKeys":["%s"],"priority":1,"ratePerS":100000,"burst":100000}}}
            """;

    private final EventLoops loops;
    private final ThreadTimerService timers;
    private final HttpClient client;
    private final InetSocketAddress storeAddress;
    private final InetSocketAddress targetAddress;
    private InetSocketAddress requestAddress;
    private InetSocketAddress heartbeatAddress;

    private StandinPlatform(EventLoops loops, ThreadTimerService timers, StandinStore store)
            throws IOException, InterruptedException {
        this.loops = loops;
        this.timers = timers;
        this.client = HttpClient.create(
                new HttpClientSettings(Duration.ofSeconds(1), Duration.ofSeconds(4), Duration.ofSeconds(1), 1 << 20),
                loops);
        this.storeAddress =
                HttpServer.bind(loopback(0), loops, () -> SERVER_LIMITS, store).address();
        this.targetAddress = HttpServer.bind(loopback(0), loops, () -> SERVER_LIMITS, StandinPlatform::respondAsTarget)
                .address();
    }

    /** Starts the store and the target. */
    public static StandinPlatform start() throws IOException, InterruptedException {
        ThreadTimerService timers = ThreadTimerService.start("standin", Runnable::run);
        StandinStore store = new StandinStore(timers);
        store.write(
                OperatorDocument.KEY, ByteString.copyFromUtf8(DOCUMENT.formatted(HOST, SERVICE, ORGANISATION, KEY)));
        return new StandinPlatform(EventLoops.create(THREAD_NAME, 1), timers, store);
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Responds as a target does; refuses a request that has the organisation's API key or lacks its name. */
    private static void respondAsTarget(HttpExchange exchange) {
        boolean hasName = exchange.headers().all(PlatformHeaders.ORGANISATION).equals(ImmutableList.of(ORGANISATION));
        if (!hasName || exchange.headers().first(PlatformHeaders.CREDENTIAL).isPresent()) {
            exchange.answer(HttpAnswer.of(BAD_REQUEST));
            return;
        }
        String id = exchange.headers().first(PlatformHeaders.REQUEST_ID).orElse("");
        Headers headers = Headers.empty()
                .with(PlatformHeaders.REQUEST_ID, id)
                .with(PlatformHeaders.SIGNATURE, "signed")
                .with("Content-Type", "text/plain");
        exchange.answer(HttpAnswer.of(OK, headers, ByteString.copyFromUtf8("answer to " + id)));
    }

    /**
     * Starts two nodes and sends requests from one node to the target of the other.
     *
     * @param number requests that must succeed
     * @return number of requests that succeeded
     */
    public int exercise(int number) throws IOException, InterruptedException, SettingsException, PeerStartException {
        startNodes();
        return request(number);
    }

    /** Starts the two nodes. */
    public void startNodes() throws IOException, InterruptedException, SettingsException, PeerStartException {
        PlatformSettings.Listeners targetNode = startNode("trial-node-1");
        PlatformSettings.Listeners entryNode = startNode("trial-node-2");
        requestAddress = Addresses.parse(entryNode.requests());
        heartbeatAddress = Addresses.parse(targetNode.heartbeats());
    }

    /**
     * Sends requests one after the other until the number of successes is reached or the attempts are used up.
     *
     * @param number requests that must succeed
     * @return number of requests that succeeded
     */
    public int request(int number) throws InterruptedException {
        int succeeded = 0;
        for (int i = 0; i < MAX_ATTEMPTS_PER_SUCCESS * number && succeeded < number; i++) {
            if (i % REQUESTS_PER_HEARTBEAT == 0) {
                sendHeartbeat(heartbeatAddress, i);
            }
            succeeded += request(requestAddress, i) == OK ? 1 : 0;
            if (succeeded == 0) {
                Thread.sleep(RETRY_PAUSE_MILLIS);
            }
        }
        return succeeded;
    }

    private PlatformSettings.Listeners startNode(String id)
            throws IOException, InterruptedException, SettingsException, PeerStartException {
        PlatformSettings.Listeners listeners = new PlatformSettings.Listeners(
                "127.0.0.1:" + freePort(), "127.0.0.1:" + freePort(), "127.0.0.1:" + freePort(), freePort(), null);
        Path settings = Files.createTempFile("beryldock-trial-node", ".json");
        try {
            Files.writeString(settings, settingsOf(id, listeners));
            PlatformNode.start(settings);
        } finally {
            Files.delete(settings);
        }
        return listeners;
    }

    /**
     * The content of a settings file. Nodes read a file here too, so that the classes that read settings are loaded.
     */
    private String settingsOf(String id, PlatformSettings.Listeners listeners) {
        return """
                {"id":"%s","dataCentre":"trial-centre","address":"127.0.0.1","service":"%s",
                "listeners":{"requests":"%s","readiness":"%s","heartbeats":"%s","peerPort":%d},
                "store":"127.0.0.1:%d","retries":{"share":0.2,"windowSeconds":10},
                "revokedKeysSeconds":5,"quotas":{"windowSeconds":5,"overage":0.1,"slack":20,
                "dataCentres":["trial-centre"]},"stopSeconds":6}
                """.formatted(
                        id,
                        SERVICE,
                        listeners.requests(),
                        listeners.readiness(),
                        listeners.heartbeats(),
                        listeners.peerPort(),
                        storeAddress.getPort());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private void sendHeartbeat(InetSocketAddress address, int sequence) throws InterruptedException {
        String body = """
                {"address":"127.0.0.1:%d","info":{"service":"%s","version":"v1","zone":"trial-centre","slots":%d},
                "status":{"state":"ready","sequence":%d,"coldRemainingS":0}}
                """.formatted(targetAddress.getPort(), SERVICE, SLOTS, sequence);
        Headers headers = Headers.empty().with(PlatformHeaders.HOST, "node");
        send(address, HttpCall.of("PUT", "/instances/" + TARGET, headers, ByteString.copyFromUtf8(body)));
    }

    /** Sends requests that nodes refuse: without a key, with an unknown key, and on a path without a route. */
    public void sendRefusedRequests() throws InterruptedException {
        requestWithKey("");
        requestWithKey("unknown-key");
        Headers headers = Headers.empty().with(PlatformHeaders.HOST, HOST).with(PlatformHeaders.CREDENTIAL, KEY);
        send(requestAddress, HttpCall.of("GET", "/no-route", headers, ByteString.EMPTY));
    }

    /** Sends a request with the key and the name of an organisation other than the key's; returns the status. */
    int requestWithKey(String key) throws InterruptedException {
        return request(requestAddress, 0, key);
    }

    private int request(InetSocketAddress address, int number) throws InterruptedException {
        return request(address, number, KEY);
    }

    private int request(InetSocketAddress address, int number, String key) throws InterruptedException {
        Headers headers = Headers.empty()
                .with(PlatformHeaders.HOST, HOST)
                .with(PlatformHeaders.CREDENTIAL, key)
                .with(PlatformHeaders.ORGANISATION, "another-organisation")
                .with(PlatformHeaders.REQUEST_ID, "request-" + number)
                .with(PlatformHeaders.REMAINING_MILLIS, "5000");
        return send(address, HttpCall.of("GET", "/trial/" + number, headers, ByteString.EMPTY));
    }

    /** Sends the call; returns the status, or 0 if there was no response. */
    private int send(InetSocketAddress address, HttpCall call) throws InterruptedException {
        try {
            HttpReply reply = client.send(address, call).get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return reply.status();
        } catch (ExecutionException | TimeoutException e) {
            log.atWarning().withCause(e).log("a trial request got no response and counts as not served");
            return 0;
        }
    }

    @Override
    public void close() {
        timers.close();
        loops.close();
    }
}
