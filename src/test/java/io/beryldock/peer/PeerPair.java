package io.beryldock.peer;

import com.google.protobuf.ByteString;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.eventloop.EventLoops;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Two transports, a and b, with a relay from a to b, on one event loop and a clock that the test advances. */
final class PeerPair implements AutoCloseable {

    static final Duration LONG = Duration.ofHours(1);
    private static final Duration TICK = PeerLiveness.defaults().tick();
    private static final long TIMEOUT_SECONDS = 20;

    /**
     * Number of consecutive checks that must find the relay settled. One check is not enough, because bytes alternate
     * between the event loop and the relay.
     */
    private static final int SETTLED_ROUNDS = 3;

    /** Limit of the checks: if a receiver stopped reading, the relay never settles and the clock must still advance. */
    private static final int MAX_ROUNDS = 20_000;

    final ManualTimerService timers = ManualTimerService.create();
    final List<EventKind> events = new CopyOnWriteArrayList<>();
    final List<PeerHandler.PeerMessage> held = new CopyOnWriteArrayList<>();
    final NettyPeerTransport a;
    final NettyPeerTransport b;
    final FaultyRelay relay;
    private final EventLoops loops = EventLoops.create(1);

    private PeerPair(PeerTransportSettings settingsOfA, PeerTransportSettings settingsOfB)
            throws PeerStartException, IOException {
        a = transport("a", settingsOfA);
        b = transport("b", settingsOfB);
        b.registerHandler(PeerTopic.CALL, message -> message.reply(message.body()));
        b.registerHandler(PeerTopic.QUERY, held::add);
        a.start();
        b.start();
        relay = FaultyRelay.start(b.localAddress());
    }

    /** Starts a pair: b replies to topic CALL with the body and keeps requests of topic QUERY in {@link #held}. */
    static PeerPair start() throws PeerStartException, IOException {
        return start(PeerLimits.defaults());
    }

    static PeerPair start(PeerLimits limits) throws PeerStartException, IOException {
        PeerTransportSettings settings =
                PeerTransportSettings.insecure(anyPort()).withLimits(limits);
        return new PeerPair(settings, settings);
    }

    static PeerPair start(PeerTransportSettings settingsOfA, PeerTransportSettings settingsOfB)
            throws PeerStartException, IOException {
        return new PeerPair(settingsOfA, settingsOfB);
    }

    static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    static ByteString text(String text) {
        return ByteString.copyFromUtf8(text);
    }

    private NettyPeerTransport transport(String name, PeerTransportSettings settings) {
        return NettyPeerTransport.create(settings, identity(name), timers, sink(), loops);
    }

    static PeerIdentity identity(String name) {
        return PeerIdentity.of(NodeId.of(name), DataCentre.of("gent-a"), new Incarnation(name.hashCode(), 1));
    }

    EventSink sink() {
        return (kind, id, subject, detail) -> events.add(kind);
    }

    /** Sends a request to b through the relay. */
    CompletableFuture<ByteString> request(PeerTopic topic, String body) {
        return a.request(relay.address(), topic, text(body), LONG);
    }

    /** Sends a request to b, whose handler keeps it in {@link #held}, and waits until it has arrived. */
    CompletableFuture<ByteString> requestHeld(String body) {
        int before = held.size();
        CompletableFuture<ByteString> reply = request(PeerTopic.QUERY, body);
        await(() -> held.size() > before);
        return reply;
    }

    static String get(CompletableFuture<ByteString> reply) throws Exception {
        return reply.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).toStringUtf8();
    }

    /** Returns the kind of failure of a request that fails without a further advance of the clock. */
    static PeerException.Kind failure(CompletableFuture<ByteString> reply)
            throws InterruptedException, TimeoutException {
        try {
            throw new AssertionError("answered: " + reply.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (ExecutionException e) {
            return ((PeerException) e.getCause()).kind();
        }
    }

    /** Advances the clock tick by tick and waits after each tick until the event loop and the relay have settled. */
    void advance(Duration step) {
        for (long left = step.toNanos(); left > 0; left -= TICK.toNanos()) {
            timers.advance(TICK);
            settle();
        }
    }

    /** Advances the clock tick by tick until the condition holds; returns the time by which it was advanced. */
    Duration advanceUntil(BooleanSupplier condition, Duration bound) {
        Duration advanced = Duration.ZERO;
        while (!condition.getAsBoolean() && advanced.compareTo(bound) < 0) {
            advance(TICK);
            advanced = advanced.plus(TICK);
        }
        if (!condition.getAsBoolean()) {
            throw new AssertionError("the condition did not hold within " + bound);
        }
        return advanced;
    }

    /** Waits, without advancing the clock, until bytes in flight have made the condition true. */
    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("the condition did not hold in time");
            }
            LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(100));
        }
    }

    /** Returns the CPU time of the event loop of both transports. */
    long loopCpuNanos() throws InterruptedException, ExecutionException {
        return loops.next()
                .submit(() -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime())
                .get();
    }

    /**
     * Waits, without advancing the clock, until the event loop has run all its tasks and the relay has forwarded all
     * bytes.
     *
     * <p>Without the wait for the relay, the clock can advance by 20 s in 0.1 s of real time while bytes are still in
     * flight, and healthy connections are abandoned as silent.
     */
    private void settle() {
        int settledRounds = 0;
        for (int round = 0; settledRounds < SETTLED_ROUNDS && round < MAX_ROUNDS; round++) {
            loops.next().submit(() -> {}).syncUninterruptibly();
            settledRounds = relay.settled() ? settledRounds + 1 : 0;
        }
    }

    @Override
    public void close() throws IOException {
        a.close();
        b.close();
        relay.close();
        loops.close();
    }
}
