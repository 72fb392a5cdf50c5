package io.beryldock.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The peer transport over TCP: protobuf frames, one multiplexed connection from this node to each address, on use.
 *
 * <p>Thread safe. Handlers run on the event loop threads.
 */
public final class NettyPeerTransport implements PeerTransport, AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int OWN_LOOPS = 2;
    private static final Duration TICK = Duration.ofMillis(50);

    private final PeerHub hub;
    private final PeerEventLoops loops;
    private final boolean ownLoops;
    private final Map<InetSocketAddress, OutboundLink> links = new ConcurrentHashMap<>();
    private final Set<InboundConnection> accepted = ConcurrentHashMap.newKeySet();
    private TimerService.Subscription tick = () -> {};
    private Channel listener;

    private NettyPeerTransport(PeerHub hub, PeerEventLoops loops, boolean ownLoops) {
        this.hub = hub;
        this.loops = loops;
        this.ownLoops = ownLoops;
    }

    /** A transport with event loops of its own. */
    public static NettyPeerTransport create(
            PeerTransportSettings settings, PeerIdentity self, TimerService timers, EventSink events) {
        PeerEventLoops loops = PeerEventLoops.create(OWN_LOOPS);
        return new NettyPeerTransport(PeerHub.create(settings, self, timers, events), loops, true);
    }

    /** A transport on event loops that others may use too and that outlive it. */
    public static NettyPeerTransport create(
            PeerTransportSettings settings,
            PeerIdentity self,
            TimerService timers,
            EventSink events,
            PeerEventLoops loops) {
        return new NettyPeerTransport(PeerHub.create(settings, self, timers, events), loops, false);
    }

    /** Binds the listener and starts to take connections. */
    public void start() throws PeerStartException {
        InetSocketAddress bind = hub.settings().bind();
        ChannelFuture bound = new ServerBootstrap()
                .group(loops.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new AcceptInitializer())
                .bind(bind)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new PeerStartException(
                    "peers.port: can't listen on " + bind + " (" + bound.cause().getMessage()
                            + "); free the port or set another address and port under peers",
                    bound.cause());
        }
        listener = bound.channel();
        tick = hub.timers().every(TICK, this::tick);
        if (hub.settings().tls().isEmpty()) {
            log.atWarning().log("peers talk without TLS on %s: anybody who reaches the port is believed", bind);
        }
    }

    /** Address that the listener is bound to, with its real port. */
    public InetSocketAddress localAddress() {
        return (InetSocketAddress) listener.localAddress();
    }

    @Override
    public CompletableFuture<ByteString> request(
            InetSocketAddress peer, PeerTopic topic, ByteString body, Duration timeout) {
        long deadline = hub.timers().ticker().nanos() + timeout.toNanos();
        return link(peer).request(topic.number(), body, deadline);
    }

    @Override
    public void send(InetSocketAddress peer, PeerTopic topic, ByteString body) {
        link(peer).send(topic.number(), body);
    }

    @Override
    public void handle(PeerTopic topic, PeerHandler handler) {
        if (hub.handlers().putIfAbsent(topic.number(), handler) != null) {
            throw new IllegalStateException("topic " + topic + " has a handler already");
        }
    }

    /** Completes when no request is under way in either direction. */
    public CompletableFuture<Void> drain() {
        return CompletableFuture.completedFuture(null);
    }

    /** Counters and connections now. */
    public PeerTransportStats stats() {
        List<CompletableFuture<ConnectionSnapshot>> pending = new ArrayList<>();
        links.values().forEach(link -> pending.add(link.snapshot()));
        accepted.forEach(connection -> pending.add(connection.snapshot()));
        return hub.counters()
                .snapshot(pending.stream().map(CompletableFuture::join).toList());
    }

    @Override
    public void close() {
        tick.cancel();
        if (listener != null) {
            ChannelActions.close(listener);
        }
        links.values().forEach(OutboundLink::close);
        accepted.forEach(InboundConnection::close);
        if (ownLoops) {
            loops.close();
        }
    }

    private void tick() {
        long now = hub.timers().ticker().nanos();
        links.values().forEach(link -> link.expire(now));
    }

    private OutboundLink link(InetSocketAddress peer) {
        return links.computeIfAbsent(peer, address -> new OutboundLink(hub, address, loops.next()));
    }

    /** Sets up the pipeline of an accepted connection. */
    private final class AcceptInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel ch) {
            InboundConnection connection = new InboundConnection(hub);
            accepted.add(connection);
            var unused = ch.closeFuture().addListener(closed -> accepted.remove(connection));
            ch.pipeline()
                    .addLast(new FrameDecoder(hub.settings().limits().maxFrameBytes(), hub.counters()))
                    .addLast(new FrameEncoder(hub.counters()))
                    .addLast(connection);
        }
    }
}
