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
 * A platform in small on the loopback interface: a store, a target with its node and another node, for the run in which
 * the Java virtual machine records the classes that a node loads. Its client has the key of an organisation with a
 * quota. Thread safe; closed once.
 */
public final class StandinPlatform implements AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    /** Thread of the stand-ins and of the client, apart from those of the nodes. */
    public static final String THREAD_NAME = "standin";

    private static final String HOST = "trial.example";
    private static final String SERVICE = "trial";
    private static final String TARGET = "trial-target";
    private static final String ORGANISATION = "trial-organisation";
    private static final String KEY = "trial-key";
    private static final int BAD_REQUEST = 400;
    private static final int SLOTS = 8;
    private static final int OK = 200;
    private static final int TRIES_FOR_ONE = 4;
    private static final int BEAT_EACH = 50;
    private static final long PAUSE_MILLIS = 50;
    private static final long ANSWER_SECONDS = 5;
    private static final HttpServerLimits LIMITS =
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
    private InetSocketAddress requests;
    private InetSocketAddress heartbeats;

    private StandinPlatform(EventLoops loops, ThreadTimerService timers, StandinStore store)
            throws IOException, InterruptedException {
        this.loops = loops;
        this.timers = timers;
        this.client = HttpClient.create(
                new HttpClientSettings(Duration.ofSeconds(1), Duration.ofSeconds(4), Duration.ofSeconds(1), 1 << 20),
                loops);
        this.storeAddress =
                HttpServer.bind(loopback(0), loops, () -> LIMITS, store).address();
        this.targetAddress = HttpServer.bind(loopback(0), loops, () -> LIMITS, StandinPlatform::runTarget)
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

    /** Answers as a target does; one that is told the organisation's key, or not its name, fails. */
    private static void runTarget(HttpExchange exchange) {
        boolean told = exchange.headers().all(PlatformHeaders.ORGANISATION).equals(ImmutableList.of(ORGANISATION));
        if (!told || exchange.headers().first(PlatformHeaders.CREDENTIAL).isPresent()) {
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
     * Starts two nodes, sends so many requests from the one to the target of the other and tells how many were answered
     * with success.
     */
    public int exercise(int number) throws IOException, InterruptedException, SettingsException, PeerStartException {
        startNodes();
        return request(number);
    }

    /** Starts the two nodes. */
    public void startNodes() throws IOException, InterruptedException, SettingsException, PeerStartException {
        PlatformSettings.Listeners atTarget = startNode("trial-node-1");
        PlatformSettings.Listeners atEntry = startNode("trial-node-2");
        requests = Addresses.parse(atEntry.requests());
        heartbeats = Addresses.parse(atTarget.heartbeats());
    }

    /** Sends so many requests one after the other, and tells how many were answered with success. */
    public int request(int number) throws InterruptedException {
        int served = 0;
        for (int i = 0; i < TRIES_FOR_ONE * number && served < number; i++) {
            if (i % BEAT_EACH == 0) {
                beat(heartbeats, i);
            }
            served += request(requests, i) == OK ? 1 : 0;
            if (served == 0) {
                Thread.sleep(PAUSE_MILLIS);
            }
        }
        return served;
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

    /** As a file, since a node reads one: the classes that read settings belong to its start. */
    private String settingsOf(String id, PlatformSettings.Listeners listeners) {
        return """
                {"id":"%s","dataCentre":"trial-centre","address":"127.0.0.1","service":"%s",
                "listeners":{"requests":"%s","readiness":"%s","heartbeats":"%s","peerPort":%d},
                "store":"127.0.0.1:%d","retries":{"share":0.2,"windowSeconds":10,"slack":48},
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

    private void beat(InetSocketAddress address, int sequence) throws InterruptedException {
        String body = """
                {"address":"127.0.0.1:%d","info":{"service":"%s","version":"v1","zone":"trial-centre","slots":%d},
                "status":{"state":"ready","sequence":%d,"coldRemainingS":0}}
                """.formatted(targetAddress.getPort(), SERVICE, SLOTS, sequence);
        Headers headers = Headers.empty().with(PlatformHeaders.HOST, "node");
        send(address, HttpCall.of("PUT", "/instances/" + TARGET, headers, ByteString.copyFromUtf8(body)));
    }

    /** Sends requests that nodes refuse: without a key, with an unknown one, and on a path without a route. */
    public void requestRefusals() throws InterruptedException {
        requestWithKey("");
        requestWithKey("unknown-key");
        Headers headers = Headers.empty().with(PlatformHeaders.HOST, HOST).with(PlatformHeaders.CREDENTIAL, KEY);
        send(requests, HttpCall.of("GET", "/no-route", headers, ByteString.EMPTY));
    }

    /** One request of a client that names the key, and another organisation than the key's, and its status. */
    int requestWithKey(String key) throws InterruptedException {
        return request(requests, 0, key);
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
                .with(PlatformHeaders.TIME_LEFT_MILLIS, "5000");
        return send(address, HttpCall.of("GET", "/trial/" + number, headers, ByteString.EMPTY));
    }

    /** The status, 0 without an answer. */
    private int send(InetSocketAddress address, HttpCall call) throws InterruptedException {
        try {
            HttpReply reply = client.send(address, call).get(ANSWER_SECONDS, TimeUnit.SECONDS);
            return reply.status();
        } catch (ExecutionException | TimeoutException e) {
            log.atWarning().withCause(e).log("a trial request got no answer and counts as not served");
            return 0;
        }
    }

    @Override
    public void close() {
        timers.close();
        loops.close();
    }
}
