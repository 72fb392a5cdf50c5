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

/** Two transports, a and b, with a relay from a to b, on one event loop and a clock that the test moves. */
final class PeerPair implements AutoCloseable {

    static final Duration LONG = Duration.ofHours(1);
    private static final Duration TICK = PeerLiveness.defaults().tick();
    private static final long WAIT_SECONDS = 20;

    /** Looks at the relay in a row: bytes that go back and forth are now with the loop, now with the relay. */
    private static final int QUIET_ROUNDS = 3;

    /** A receiver that stopped reading keeps the relay from ever being quiet: the clock goes on all the same. */
    private static final int MAX_ROUNDS = 20_000;

    final ManualTimerService timers = ManualTimerService.create();
    final List<EventKind> events = new CopyOnWriteArrayList<>();
    final List<PeerHandler.PeerMessage> held = new CopyOnWriteArrayList<>();
    final NettyPeerTransport a;
    final NettyPeerTransport b;
    final FaultyRelay relay;
    private final EventLoops loops = EventLoops.create(1);

    private PeerPair(PeerTransportSettings ofA, PeerTransportSettings ofB) throws PeerStartException, IOException {
        a = transport("a", ofA);
        b = transport("b", ofB);
        b.handle(PeerTopic.CALL, message -> message.reply(message.body()));
        b.handle(PeerTopic.QUERY, held::add);
        a.start();
        b.start();
        relay = FaultyRelay.start(b.localAddress());
    }

    /** Node b answers topic CALL with the body and keeps requests of topic QUERY in {@link #held}. */
    static PeerPair start() throws PeerStartException, IOException {
        return start(PeerLimits.defaults());
    }

    static PeerPair start(PeerLimits limits) throws PeerStartException, IOException {
        PeerTransportSettings settings =
                PeerTransportSettings.insecure(anyPort()).withLimits(limits);
        return new PeerPair(settings, settings);
    }

    static PeerPair start(PeerTransportSettings ofA, PeerTransportSettings ofB) throws PeerStartException, IOException {
        return new PeerPair(ofA, ofB);
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

    /** Asks b through the relay. */
    CompletableFuture<ByteString> ask(PeerTopic topic, String body) {
        return a.request(relay.address(), topic, text(body), LONG);
    }

    /** Asks b, whose handler keeps the request, and waits until it has come. */
    CompletableFuture<ByteString> askHeld(String body) {
        int before = held.size();
        CompletableFuture<ByteString> reply = ask(PeerTopic.QUERY, body);
        await(() -> held.size() > before);
        return reply;
    }

    static String get(CompletableFuture<ByteString> reply) throws Exception {
        return reply.get(WAIT_SECONDS, TimeUnit.SECONDS).toStringUtf8();
    }

    /** The kind of failure of a request that has failed or does so without the clock being moved. */
    static PeerException.Kind failure(CompletableFuture<ByteString> reply)
            throws InterruptedException, TimeoutException {
        try {
            throw new AssertionError("answered: " + reply.get(WAIT_SECONDS, TimeUnit.SECONDS));
        } catch (ExecutionException e) {
            return ((PeerException) e.getCause()).kind();
        }
    }

    /** Moves the clock tick by tick; after each, the event loop has done all that it was given. */
    void advance(Duration step) {
        for (long left = step.toNanos(); left > 0; left -= TICK.toNanos()) {
            timers.advance(TICK);
            settle();
        }
    }

    /** Moves the clock tick by tick until the condition holds; returns the time that it took. */
    Duration advanceUntil(BooleanSupplier condition, Duration bound) {
        Duration taken = Duration.ZERO;
        while (!condition.getAsBoolean() && taken.compareTo(bound) < 0) {
            advance(TICK);
            taken = taken.plus(TICK);
        }
        if (!condition.getAsBoolean()) {
            throw new AssertionError("not within " + bound);
        }
        return taken;
    }

    /** Waits, with the clock standing still, for what the sockets still carry. */
    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("never came about");
            }
            LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(100));
        }
    }

    /** Processor time of the event loop of both transports. */
    long loopCpuNanos() throws InterruptedException, ExecutionException {
        return loops.next()
                .submit(() -> ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime())
                .get();
    }

    /**
     * Waits, with the clock standing still, until the event loop has done all that it was given and the relay has
     * passed on all bytes.
     *
     * <p>Without the relay's part the clock ran 20 s ahead in a tenth of a second while bytes were still on their way,
     * and sound connections ended as silent ones.
     */
    private void settle() {
        int quiet = 0;
        for (int round = 0; quiet < QUIET_ROUNDS && round < MAX_ROUNDS; round++) {
            loops.next().submit(() -> {}).syncUninterruptibly();
            quiet = relay.quiet() ? quiet + 1 : 0;
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
