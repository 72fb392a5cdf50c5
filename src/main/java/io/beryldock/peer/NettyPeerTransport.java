package io.beryldock.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.eventloop.EventLoops;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The peer transport over TCP: protobuf frames, one multiplexed connection from this node to each address, on use.
 *
 * <p>A pair of nodes has up to two connections, each for the requests of the node that made it. Addresses are IP
 * numbers. Deadlines are kept to within one tick of {@link PeerLiveness}.
 *
 * <p>Thread safe. Handlers, and what depends on the futures of requests, run on the event loop threads and must not
 * block.
 */
public final class NettyPeerTransport implements PeerTransport, AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int OWN_LOOPS = 2;
    private static final Duration TLS_RELOAD = Duration.ofSeconds(10);

    private final PeerHub hub;
    private final EventLoops loops;
    private final boolean ownLoops;
    private final Map<InetSocketAddress, OutboundLink> links = new ConcurrentHashMap<>();
    private final OutboundLink.Retirement retirement;
    private final PeerListener listener;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private final List<TimerService.Subscription> subscriptions = new ArrayList<>();
    private volatile Phase phase = Phase.NEW;

    private NettyPeerTransport(PeerHub hub, EventLoops loops, boolean ownLoops) {
        this.hub = hub;
        this.loops = loops;
        this.ownLoops = ownLoops;
        this.listener = new PeerListener(hub, loops);
        this.retirement = new OutboundLink.Retirement(this::remove, this::resubmit);
    }

    /** A transport with event loops of its own. */
    public static NettyPeerTransport create(
            PeerTransportSettings settings, PeerIdentity self, TimerService timers, EventSink events) {
        EventLoops loops = EventLoops.create(OWN_LOOPS);
        return new NettyPeerTransport(PeerHub.create(settings, self, timers, events), loops, true);
    }

    /** A transport on event loops that others may use too and that outlive it. */
    public static NettyPeerTransport create(
            PeerTransportSettings settings,
            PeerIdentity self,
            TimerService timers,
            EventSink events,
            EventLoops loops) {
        return new NettyPeerTransport(PeerHub.create(settings, self, timers, events), loops, false);
    }

    /**
     * Binds the listener and starts to take connections.
     *
     * @throws PeerStartException when the address can't be bound or the TLS files can't be used
     */
    public synchronized void start() throws PeerStartException {
        if (phase != Phase.NEW) {
            throw new IllegalStateException("the transport was started before");
        }
        PeerTransportSettings settings = hub.settings();
        if (settings.tls().isPresent()) {
            PeerTls tls = PeerTls.load(settings.tls().get());
            hub.useTls(tls);
            subscriptions.add(hub.timers().every(TLS_RELOAD, tls::reload));
        }
        listener.bind();
        subscriptions.add(hub.timers().every(hub.liveness().tick(), this::tick));
        phase = Phase.RUNNING;
        if (settings.tls().isEmpty()) {
            log.atWarning().log(
                    "peers.insecure: messages between nodes on %s are neither encrypted nor proven; set peers.tls",
                    localAddress());
        }
    }

    /** Address that the listener is bound to, with its real port; only after {@link #start()}. */
    public InetSocketAddress localAddress() {
        return listener.localAddress();
    }

    @Override
    public CompletableFuture<ByteString> request(
            InetSocketAddress peer, PeerTopic topic, ByteString body, Duration timeout) {
        OutboundMessage message = OutboundMessage.request(topic.number(), body, hub.now() + timeout.toNanos());
        CompletableFuture<ByteString> reply = message.reply();
        submit(peer, message);
        return reply;
    }

    @Override
    public void send(InetSocketAddress peer, PeerTopic topic, ByteString body) {
        long deadline = hub.now() + hub.limits().connectTimeout().toNanos();
        submit(peer, OutboundMessage.notice(topic.number(), body, deadline));
    }

    @Override
    public void handle(PeerTopic topic, PeerHandler handler) {
        if (!hub.addHandler(topic, handler)) {
            throw new IllegalStateException("topic " + topic + " has a handler already");
        }
    }

    /**
     * Sets who should answer at which address: a connection on which another node says hello is given up, and what
     * waits for it fails as {@link PeerException.Kind#NOT_SENT}.
     */
    public void expect(PeerExpectation expectation) {
        hub.expect(expectation);
    }

    /**
     * Takes no new connections, has peers send their further requests elsewhere, and completes when every request that
     * was under way in either direction has its reply and every peer has closed its connection.
     *
     * <p>This node can still send requests meanwhile. The caller bounds the wait, then closes.
     */
    public synchronized CompletableFuture<Void> drain() {
        if (phase == Phase.RUNNING) {
            phase = Phase.DRAINING;
            listener.leave();
        }
        return drained.copy();
    }

    /** Counters and connections now. Never waits. */
    public PeerTransportStats stats() {
        List<ConnectionSnapshot> connections = new ArrayList<>();
        links.values().forEach(link -> connections.addAll(link.snapshots()));
        connections.addAll(listener.snapshots());
        return hub.counters().snapshot(connections);
    }

    /** Closes at once; what is under way fails as LOST, what waits as NOT_SENT. */
    @Override
    public synchronized void close() {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.CLOSED;
        subscriptions.forEach(TimerService.Subscription::cancel);
        listener.close();
        links.values().forEach(OutboundLink::close);
        if (ownLoops) {
            loops.close();
        }
        drained.complete(null);
    }

    private void submit(InetSocketAddress peer, OutboundMessage message) {
        if (phase == Phase.NEW || phase == Phase.CLOSED) {
            message.fail(PeerException.Kind.NOT_SENT, "the peer transport is not running");
            return;
        }
        link(peer).submit(message);
    }

    private void resubmit(InetSocketAddress peer, OutboundMessage message) {
        link(peer).submit(message);
    }

    private OutboundLink link(InetSocketAddress peer) {
        OutboundLink known = links.get(peer);
        return known != null ? known : links.computeIfAbsent(peer, this::newLink);
    }

    private OutboundLink newLink(InetSocketAddress peer) {
        return new OutboundLink(hub, peer, loops.next(), retirement);
    }

    private void remove(OutboundLink link) {
        links.remove(link.address(), link);
    }

    private void tick() {
        long now = hub.now();
        links.values().forEach(link -> link.tick(now));
        listener.tick(now);
        if (phase == Phase.DRAINING
                && listener.empty()
                && links.values().stream().allMatch(OutboundLink::idle)) {
            drained.complete(null);
        }
    }

    /** How far the transport has come in its life. */
    private enum Phase {
        NEW,
        RUNNING,
        DRAINING,
        CLOSED
    }
}
