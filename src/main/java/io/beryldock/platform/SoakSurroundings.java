package io.beryldock.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import io.beryldock.call.Headers;
import io.beryldock.eventloop.EventLoops;
import io.beryldock.nettyhttp.HttpCall;
import io.beryldock.nettyhttp.HttpClient;
import io.beryldock.nettyhttp.HttpClientSettings;
import io.beryldock.nettyhttp.HttpExchangeException;
import io.beryldock.nettyhttp.HttpReply;
import io.beryldock.nettyhttp.HttpServer;
import io.beryldock.nettyhttp.HttpServerLimits;
import io.beryldock.soak.CallerRequest;
import io.beryldock.soak.NodePlace;
import io.beryldock.soak.ResponseFault;
import io.beryldock.soak.SoakBounds;
import io.beryldock.soak.SoakEvent;
import io.beryldock.soak.SoakEvent.Ending;
import io.beryldock.soak.SoakEvent.Reply;
import io.beryldock.soak.Surroundings;
import io.beryldock.soak.TargetProfile;
import io.beryldock.soak.Use;
import io.beryldock.time.ThreadTimerService;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

/**
 * The environment of a soak test on the platform's protocols: stand-ins for the store, targets, callers and operators.
 */
public final class SoakSurroundings implements Surroundings {

    private static final String HOST = "soak.example";
    private static final String ORGANISATION = "soak-organisation";
    private static final String DATA_CENTRE = "soak-centre";
    /** As many as deployments allow. */
    private static final int RESENDS = 6;

    private static final int THREADS = 2;
    private static final long CALLER_MILLIS = 4_000;

    /** A caller waits slightly longer than its own deadline, because late responses are delivered too. */
    private static final Duration CALLER_TIMEOUT = Duration.ofMillis(CALLER_MILLIS + 500);

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);
    private static final double MILLIS_PER_SECOND = 1000;
    private static final Duration SNAPSHOT_PERIOD = Duration.ofSeconds(1);

    /** Number of snapshots kept; the store is restored from the oldest one. */
    private static final int SNAPSHOTS_KEPT = 6;

    private static final HttpServerLimits SERVER_LIMITS =
            new HttpServerLimits(16 << 10, 1 << 20, Duration.ofSeconds(10), Duration.ofSeconds(60));
    private static final HttpClientSettings CLIENT_SETTINGS =
            new HttpClientSettings(Duration.ofSeconds(1), Duration.ofSeconds(4), Duration.ofSeconds(1), 1 << 20);

    private final EventLoops loops = EventLoops.create("standin", THREADS);
    private final ThreadTimerService timers = ThreadTimerService.start("standin-timer", Runnable::run);
    private final StandinStore store = new StandinStore(timers);
    private final HttpClient client = HttpClient.create(CLIENT_SETTINGS, loops);
    private final Map<Integer, SoakTarget> targets = new ConcurrentHashMap<>();
    private final TargetProfile profile;
    private final int attempts;
    private final SoakDefects defects;
    private final SoakHeartbeats heartbeats;
    private final AtomicLong endlessResponses = new AtomicLong();
    private final TreeSet<Long> publishedVersions = new TreeSet<>();
    private final Deque<StandinStore.Snapshot> snapshots = new ArrayDeque<>();
    private ByteString newestDocument = ByteString.EMPTY;
    private final HttpServer storeServer;

    private SoakSurroundings(long seed, TargetProfile profile) throws IOException, InterruptedException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        this.profile = profile;
        this.attempts = profile.attempts(seed);
        this.defects = new SoakDefects(seed);
        this.heartbeats = new SoakHeartbeats(DATA_CENTRE, client, timers, seed);
        this.storeServer = HttpServer.bind(any, loops, () -> SERVER_LIMITS, store);
        timers.every(SNAPSHOT_PERIOD, this::takeSnapshot);
    }

    /**
     * Starts the store stand-in.
     *
     * @param seed of the defects in the responses of targets
     */
    public static SoakSurroundings start(long seed, TargetProfile profile) throws IOException, InterruptedException {
        return new SoakSurroundings(seed, profile);
    }

    @Override
    public InetSocketAddress store() {
        return storeServer.address();
    }

    @Override
    public InetSocketAddress startTarget(NodePlace place, TargetEvents events)
            throws IOException, InterruptedException {
        SoakTarget target = new SoakTarget(place, events, this::send, profile, defects, timers);
        targets.put(place.number(), target);
        return SoakTargetServer.bind(
                place.anyPortBeside(), loops, target::handle, defect -> beginEndless(place, events, defect));
    }

    private LongConsumer beginEndless(NodePlace place, TargetEvents events, SoakDefect defect) {
        long response = endlessResponses.incrementAndGet();
        events.endlessBegan(place.number(), response, defect.name());
        return bytes -> events.endlessEnded(place.number(), response, defect.name(), bytes);
    }

    @Override
    public void setResponseFault(ResponseFault fault, boolean active) {
        defects.set(fault, active);
    }

    @Override
    public void announce(NodePlace place, InetSocketAddress target) {
        heartbeats.announce(place, target, targets.get(place.number()));
    }

    @Override
    public void leave(NodePlace place, InetSocketAddress target) {
        heartbeats.leave(place, target, targets.get(place.number()));
    }

    @Override
    public void startAnew(NodePlace place) {
        targets.get(place.number()).startAnew();
    }

    /** The address as settings and heartbeats contain it. */
    static String text(InetSocketAddress address) {
        return HostAndPort.fromParts(address.getAddress().getHostAddress(), address.getPort())
                .toString();
    }

    @Override
    public String settings(NodePlace place, InetSocketAddress storeAddress, SoakBounds bounds) {
        ObjectNode settings = Json.object()
                .put("id", place.name())
                .put("dataCentre", DATA_CENTRE)
                .put("address", place.peers().getAddress().getHostAddress())
                .put("service", place.service())
                .put("store", text(storeAddress))
                .put("revokedKeysSeconds", seconds(bounds.removedKeys()))
                .put("stopSeconds", seconds(bounds.stop()));
        settings.putObject("listeners")
                .put("requests", text(place.requests()))
                .put("readiness", text(place.readiness()))
                .put("heartbeats", text(place.heartbeats()))
                .put("peerPort", place.peers().getPort())
                .put("advertisedPeerPort", place.proxiedPeers().getPort());
        settings.putObject("retries")
                .put("share", bounds.retryShare())
                .put("windowSeconds", seconds(bounds.retryWindow()))
                .put("resends", RESENDS)
                .put("failedLeaves", true);
        return settings.toString();
    }

    private static double seconds(Duration duration) {
        return duration.toMillis() / MILLIS_PER_SECOND;
    }

    @Override
    public synchronized void publish(long version, ImmutableSet<String> keys) {
        newestDocument = Json.write(document(version, keys));
        store.write(OperatorDocument.KEY, newestDocument);
    }

    private ObjectNode document(long version, Set<String> keys) {
        publishedVersions.add(version);
        ObjectNode document = Json.object().put("version", String.format(Locale.ROOT, "%08x", version));
        ObjectNode routes = document.putObject("routes");
        route(routes, "order", Use.ORDER, false);
        route(routes, "browse", Use.BROWSE, false);
        route(routes, "part", Use.PART, true);
        publishedVersions.forEach(published -> route(routes, "v" + published, Use.PROBE, true));
        ObjectNode services = document.putObject("services");
        for (Use use : Use.values()) {
            services.putObject(use.service()).put("healthPath", SoakTarget.HEALTH_PATH);
        }
        document.putObject("limits")
                .put("maxHeaderBytes", SERVER_LIMITS.maxHeaderBytes())
                .put("maxBodyBytes", SERVER_LIMITS.maxBodyBytes())
                .put("headerTimeoutS", 3)
                .put("idleTimeoutS", 15);
        ObjectNode organisation = document.putObject("tenants").putObject(ORGANISATION);
        ArrayNode apiKeys = organisation.putArray("apiKeys");
        keys.forEach(apiKeys::add);
        organisation.put("priority", 1);
        return document;
    }

    private void route(ObjectNode routes, String name, Use use, boolean open) {
        routes.putObject(name)
                .put("hostname", HOST)
                .put("pathPrefix", "/" + name + "/")
                .put("type", use.idempotent() ? "safe" : "unsafe")
                .put("timeoutS", CALLER_MILLIS / MILLIS_PER_SECOND)
                .put("targetLatencyS", 1)
                .put("priority", 1)
                .put("service", use.service())
                .put("attempts", attempts)
                .put("public", open);
    }

    @Override
    public void setStore(StoreState state) {
        store.setFault(
                switch (state) {
                    case SOUND -> StandinStore.Fault.NONE;
                    case REFUSING -> StandinStore.Fault.BUSY;
                    case ANSWERS_LOST -> StandinStore.Fault.ANSWER_LOST;
                });
    }

    @Override
    public void lapseLeases() {
        store.expireLeases();
    }

    @Override
    public void setChangesWithheld(boolean value) {
        store.setWithholding(value);
    }

    @Override
    public void setWritesLate(boolean value) {
        store.setWritesLate(value);
    }

    @Override
    public void forgetHistory() {
        store.dropHistory();
    }

    private synchronized void takeSnapshot() {
        snapshots.addLast(store.snapshot());
        if (snapshots.size() > SNAPSHOTS_KEPT) {
            snapshots.removeFirst();
        }
    }

    @Override
    public synchronized void restoreStore() {
        if (snapshots.isEmpty()) {
            return;
        }
        store.restoreFrom(snapshots.getFirst());
        store.write(OperatorDocument.KEY, newestDocument);
        snapshots.clear();
    }

    @Override
    public CompletableFuture<Void> askReadiness(InetSocketAddress address) {
        Headers headers = Headers.empty().with(PlatformHeaders.HOST, "node");
        HttpCall call = HttpCall.of("GET", "/readiness", headers, ByteString.EMPTY);
        return client.send(address, call, REQUEST_TIMEOUT).thenAccept(reply -> {});
    }

    @Override
    public CompletableFuture<Outcome> send(NodePlace place, CallerRequest request) {
        return send(place, request, CALLER_MILLIS);
    }

    private CompletableFuture<Outcome> send(NodePlace place, CallerRequest request, long millis) {
        String prefix = request.use() == Use.PROBE
                ? "v" + request.version()
                : request.use().name().toLowerCase(Locale.ROOT);
        Headers withoutKey = Headers.empty()
                .with(PlatformHeaders.HOST, HOST)
                .with(PlatformHeaders.REQUEST_ID, request.id())
                .with(PlatformHeaders.REMAINING_MILLIS, Long.toString(millis));
        Headers headers =
                request.key().isEmpty() ? withoutKey : withoutKey.with(PlatformHeaders.CREDENTIAL, request.key());
        HttpCall call = HttpCall.of(
                request.use().idempotent() ? "GET" : "POST",
                "/" + prefix + "/" + request.id(),
                headers,
                ByteString.copyFromUtf8(request.body()));
        return client.send(place.requests(), call, CALLER_TIMEOUT).handle(SoakSurroundings::outcome);
    }

    private static Outcome outcome(HttpReply reply, Throwable failure) {
        if (failure == null) {
            Headers headers = reply.headers();
            return new Outcome(
                    Ending.ANSWERED,
                    new Reply(
                            reply.status(),
                            headers.first(PlatformHeaders.REQUEST_ID).orElse(""),
                            headers.first(PlatformHeaders.SIGNATURE).isPresent(),
                            reply.body().toString(StandardCharsets.UTF_8)));
        }
        return new Outcome(ending(failure), SoakEvent.Reply.none());
    }

    private static Ending ending(Throwable failure) {
        if (failure instanceof CancellationException) {
            return Ending.GAVE_UP;
        }
        return HttpExchangeException.isNotSent(failure) ? Ending.NOT_SENT : Ending.LOST;
    }

    @Override
    public void close() {
        timers.close();
        loops.close();
    }
}
