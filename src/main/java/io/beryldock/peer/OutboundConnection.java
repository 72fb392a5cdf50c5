package io.beryldock.peer;

import com.google.common.flogger.FluentLogger;
import io.beryldock.peer.LivenessMonitor.Load;
import io.beryldock.peer.LivenessMonitor.Verdict;
import io.beryldock.peer.PeerException.Kind;
import io.beryldock.timeline.EventKind;
import io.beryldock.wire.Cancel;
import io.beryldock.wire.Frame;
import io.beryldock.wire.Hello;
import io.beryldock.wire.Reply;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * One connection that this node made, from the connect to its end.
 *
 * <p>Invariants: no request is written before the peer's hello was found good; ids rise by one and are never used
 * twice; each written request ends exactly once, by its reply, its deadline, its cancellation or the end of the
 * connection; a connection never comes back from CLOSED. Used on its event loop only, but for {@link #snapshot()}.
 */
final class OutboundConnection extends SimpleChannelInboundHandler<Frame> {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final PeerHub hub;
    private final InetSocketAddress address;
    private final Owner owner;
    private final long startedAt;
    private final LivenessMonitor monitor;
    private final LongObjectMap<OutboundMessage> sent = new LongObjectHashMap<>();
    private ChannelFuture connected;
    private Channel channel;
    private WriteProgress progress;
    private String endReason;
    private long readAt;
    private long lastId;
    private int peerMaxFrameBytes;
    private volatile State state = State.CONNECTING;
    private volatile Optional<PeerIdentity> peer = Optional.empty();
    private volatile int outstanding;

    private OutboundConnection(PeerHub hub, InetSocketAddress address, Owner owner) {
        super(Frame.class);
        this.hub = hub;
        this.address = address;
        this.owner = owner;
        this.startedAt = hub.now();
        this.monitor = new LivenessMonitor(hub.liveness());
    }

    static OutboundConnection create(PeerHub hub, InetSocketAddress address, Owner owner) {
        return new OutboundConnection(hub, address, owner);
    }

    /** Begins to connect; called once, on {@code loop}. The owner may learn of a failure before this returns. */
    void connect(EventLoop loop) {
        connected = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .disableResolver()
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, PeerPipeline.waterMark(hub.limits()))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        setUp(ch);
                    }
                })
                .connect(address);
        channel = connected.channel();
        progress = new WriteProgress(channel);
        var unused = channel.closeFuture().addListener(future -> closed());
    }

    private void setUp(Channel made) {
        PeerPipeline.setUpMade(made, hub, address, this::bytesRead, this);
    }

    boolean ready() {
        return state == State.READY;
    }

    boolean inUse() {
        return state == State.CONNECTING || monitor.pinging() || !sent.isEmpty() || progress.writing();
    }

    /** Nothing has come in for so long that a ping must be answered before a request is written. */
    boolean quiet(long now) {
        return quietFor(hub.liveness().probeAfter(), now);
    }

    private boolean quietFor(Duration bound, long now) {
        return now - readAt >= bound.toNanos();
    }

    Optional<PeerIdentity> peer() {
        return peer;
    }

    /** Writes a message; only when {@link #ready()}. */
    void write(OutboundMessage message) {
        if (!channel.isWritable()) {
            message.fail(
                    Kind.NOT_SENT,
                    "over " + hub.limits().maxBufferedBytes() + " bytes wait to be written to " + address
                            + "; send less or try another node");
            return;
        }
        long id = lastId + 1;
        Frame frame = message.oneWay() ? message.noticeFrame() : message.requestFrame(id);
        if (frame.getSerializedSize() > peerMaxFrameBytes) {
            message.fail(
                    Kind.NOT_SENT,
                    "the message has " + frame.getSerializedSize() + " bytes, " + address + " takes "
                            + peerMaxFrameBytes + "; send less or raise its largest frame");
            return;
        }
        if (!message.oneWay()) {
            lastId = id;
            message.written(this, id, monitor.clock());
            sent.put(id, message);
            outstanding = sent.size();
        }
        ChannelActions.write(channel, frame);
        if (message.oneWay() && !monitor.pinging() && quietFor(hub.liveness().noticePingAfter(), hub.now())) {
            ping();
        }
    }

    /** Asks for a sign of life; the owner learns of it by {@link Owner#ready}. */
    void probe() {
        if (state == State.READY) {
            state = State.PROBING;
            if (!monitor.pinging()) {
                ping();
            }
        }
    }

    /** Forgets a written request whose future was cancelled and tells the peer. */
    void cancel(long id) {
        if (remove(id) != null) {
            writeCancel(id);
        }
    }

    void tick(long now) {
        if (state == State.CLOSED) {
            return;
        }
        if (state == State.CONNECTING) {
            tickConnecting(now);
            return;
        }
        expire(now);
        progress.look();
        boolean probing = state == State.PROBING;
        Load load = new Load(
                monitor.pinging() || !sent.isEmpty(),
                probing && sent.isEmpty(),
                progress.writing(),
                progress.wroteSome());
        obey(monitor.tickMade(now, load));
        closeWhenFinished();
    }

    /** Closes in good order; takes no more messages from now on. */
    void close(String reason) {
        end(reason);
        state = State.FINISHING;
        ChannelActions.close(channel);
    }

    /** State for operators; thread safe. */
    ConnectionSnapshot snapshot() {
        return new ConnectionSnapshot(
                ConnectionSnapshot.Direction.MADE, address, peer, state.name().toLowerCase(Locale.ROOT), outstanding);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ChannelActions.write(ctx.channel(), hub.hello().frame());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        if (state == State.CLOSED) {
            return;
        }
        switch (frame.getKindCase()) {
            case HELLO -> greet(frame.getHello());
            case REPLY -> answer(frame.getReply());
            case PONG -> pong(frame.getPong().getNumber());
            case PING -> ChannelActions.pong(channel, frame.getPing().getNumber());
            case GO_AWAY -> finish(frame.getGoAway().getLastRequestId());
            default -> hub.counters().unknownFrame();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        end("the connection to " + address + " failed: " + cause.getMessage());
        ChannelActions.abort(channel);
    }

    private void bytesRead() {
        readAt = hub.now();
        monitor.read();
    }

    private void greet(Hello hello) {
        if (state != State.CONNECTING) {
            abandon("it said hello twice");
            return;
        }
        Optional<String> fault = hub.hello().fault(hello, hub.expectation().nodeAt(address));
        if (fault.isPresent()) {
            log.atWarning().log("no use of the peer at %s: %s", address, fault.get());
            abandon(fault.get());
            return;
        }
        PeerIdentity identity = HelloExchange.identity(hello);
        peer = Optional.of(identity);
        peerMaxFrameBytes = hello.getMaxFrameBytes();
        state = State.READY;
        owner.opened(this);
        hub.record(EventKind.PEER_CONNECTED, identity.node().value(), "connected to " + address);
        owner.ready(this);
    }

    private void answer(Reply reply) {
        OutboundMessage message = remove(reply.getId());
        if (message == null) {
            hub.counters().droppedReply();
            return;
        }
        monitor.proven(message.sentAt());
        switch (reply.getFailure()) {
            case REPLY_OK -> message.reply().complete(reply.getBody());
            case REPLY_NO_HANDLER ->
                message.fail(Kind.NOT_SENT, "the node at " + address + " has no handler of the topic; upgrade it");
            default -> message.fail(Kind.LOST, "the node at " + address + " has no reply: " + reply.getFailure());
        }
        closeWhenFinished();
    }

    private void ping() {
        ChannelActions.ping(channel, monitor.newPing());
    }

    private void pong(long number) {
        monitor.ponged(number);
        if (state == State.PROBING && !monitor.pinging()) {
            state = State.READY;
            owner.ready(this);
        }
    }

    /** The peer takes no request with a higher id; those before it still get their replies. */
    private void finish(long lastTaken) {
        if (state == State.FINISHING) {
            return;
        }
        state = State.FINISHING;
        owner.finishing(this);
        List<OutboundMessage> refused = removeIf(message -> message.id() > lastTaken);
        refused.forEach(message -> message.fail(Kind.NOT_SENT, "the node at " + address + " is leaving"));
        closeWhenFinished();
    }

    private void closeWhenFinished() {
        if (state == State.FINISHING && sent.isEmpty() && endReason == null) {
            close("the node at " + address + " is leaving");
        }
    }

    private void tickConnecting(long now) {
        if (now - startedAt >= hub.limits().connectTimeout().toNanos()) {
            abandon("no connection and hello in time");
        }
    }

    private void expire(long now) {
        for (OutboundMessage message : removeIf(late -> late.overdue(now))) {
            writeCancel(message.id());
            message.fail(Kind.TIMED_OUT, "no reply from " + address + " in time");
        }
    }

    private void obey(Verdict verdict) {
        if (verdict == Verdict.PING) {
            ping();
        }
        if (verdict.abandon()) {
            hub.counters().stalled();
            hub.record(
                    EventKind.PEER_CONNECTION_STALLED,
                    peer.map(identity -> identity.node().value()).orElse(address.toString()),
                    "abandoned with " + sent.size() + " requests waiting: " + verdict.reason());
            abandon(verdict.reason());
        }
    }

    private void abandon(String reason) {
        end("the connection to " + address + " was given up: " + reason);
        ChannelActions.abort(channel);
    }

    private void writeCancel(long id) {
        if (state != State.CLOSED && channel.isActive()) {
            Cancel.Builder cancel = Cancel.newBuilder().setId(id);
            ChannelActions.write(channel, Frame.newBuilder().setCancel(cancel).build());
        }
    }

    private OutboundMessage remove(long id) {
        OutboundMessage message = sent.remove(id);
        outstanding = sent.size();
        return message;
    }

    private List<OutboundMessage> removeIf(Predicate<OutboundMessage> condition) {
        List<OutboundMessage> removed = new ArrayList<>();
        for (OutboundMessage message : sent.values()) {
            if (condition.test(message)) {
                removed.add(message);
            }
        }
        removed.forEach(message -> sent.remove(message.id()));
        outstanding = sent.size();
        return removed;
    }

    /** Keeps the first reason, which is the cause of those that follow. */
    private void end(String reason) {
        if (endReason == null) {
            endReason = reason;
        }
    }

    private void closed() {
        if (connected.cause() != null) {
            end("no connection to " + address + ": " + connected.cause().getMessage());
        }
        end("the connection to " + address + " was closed by the peer");
        boolean opened = peer.isPresent();
        state = State.CLOSED;
        owner.closed(this, opened, endReason);
        removeIf(message -> true).forEach(message -> message.fail(Kind.LOST, endReason));
    }

    /** What a connection does now. */
    private enum State {
        CONNECTING,
        READY,
        PROBING,
        FINISHING,
        CLOSED
    }

    /** The link that a connection belongs to; called on its event loop, before futures of requests are failed. */
    interface Owner {

        /** The hello is good; {@link #ready} follows. */
        void opened(OutboundConnection connection);

        /** The hello is good, or the ping before use was answered: messages can be written. */
        void ready(OutboundConnection connection);

        /** The peer takes no new request over it. */
        void finishing(OutboundConnection connection);

        /** It has ended; {@code opened} tells whether the peer's hello had come. */
        void closed(OutboundConnection connection, boolean opened, String reason);
    }
}
