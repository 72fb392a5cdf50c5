package io.beryldock.peer;

import com.google.common.flogger.FluentLogger;
import io.beryldock.peer.LivenessMonitor.Activity;
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
 * One connection that this node makes to a peer, from the connect to its end.
 *
 * <p>Invariants: no request is written before the peer's hello has been validated; request ids increase by one and are
 * never reused; each written request ends exactly once, by its reply, its deadline, its cancellation or the end of the
 * connection; CLOSED is a final state.
 *
 * <p>Confined to its event loop, except {@link #snapshot()}.
 */
final class OutboundConnection extends SimpleChannelInboundHandler<Frame> {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final PeerTransportContext context;
    private final InetSocketAddress address;
    private final Owner owner;
    private final long connectStartedAt;
    private final LivenessMonitor monitor;
    private final LongObjectMap<OutboundMessage> inFlight = new LongObjectHashMap<>();
    private ChannelFuture connected;
    private Channel channel;
    private WriteProgress progress;
    private String endReason;
    private long lastReadAt;
    private long lastId;
    private int peerMaxFrameBytes;
    private volatile State state = State.CONNECTING;
    private volatile Optional<PeerIdentity> peer = Optional.empty();
    private volatile int outstanding;

    private OutboundConnection(PeerTransportContext context, InetSocketAddress address, Owner owner) {
        super(Frame.class);
        this.context = context;
        this.address = address;
        this.owner = owner;
        this.connectStartedAt = context.now();
        this.monitor = new LivenessMonitor(context.liveness());
    }

    static OutboundConnection create(PeerTransportContext context, InetSocketAddress address, Owner owner) {
        return new OutboundConnection(context, address, owner);
    }

    /**
     * Starts to connect; called once, on {@code loop}. If the connect fails, {@link Owner#closed} may be called before
     * this method returns.
     */
    void connect(EventLoop loop) {
        connected = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .disableResolver()
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, PeerPipeline.waterMark(context.limits()))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        initPipeline(ch);
                    }
                })
                .connect(address);
        channel = connected.channel();
        progress = new WriteProgress(channel);
        var unused = channel.closeFuture().addListener(future -> channelClosed());
    }

    private void initPipeline(Channel newChannel) {
        PeerPipeline.setUpOutbound(newChannel, context, address, this::bytesRead, this);
    }

    boolean ready() {
        return state == State.READY;
    }

    boolean inUse() {
        return state == State.CONNECTING || monitor.pinging() || !inFlight.isEmpty() || progress.hasPendingBytes();
    }

    /**
     * Whether nothing has been received for so long that a ping must be answered before a request is written to the
     * connection.
     */
    boolean needsProbe(long now) {
        return receivedNothingFor(context.liveness().probeAfter(), now);
    }

    private boolean receivedNothingFor(Duration bound, long now) {
        return now - lastReadAt >= bound.toNanos();
    }

    Optional<PeerIdentity> peer() {
        return peer;
    }

    /** Writes a message, or fails it if it is too large or too many bytes are queued. Requires {@link #ready()}. */
    void write(OutboundMessage message) {
        if (!channel.isWritable()) {
            message.fail(
                    Kind.NOT_SENT,
                    "over " + context.limits().maxBufferedBytes() + " bytes wait to be written to " + address
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
            message.markWritten(this, id, monitor.clock());
            inFlight.put(id, message);
            outstanding = inFlight.size();
        }
        ChannelActions.write(channel, frame);
        if (message.oneWay()
                && !monitor.pinging()
                && receivedNothingFor(context.liveness().noticePingAfter(), context.now())) {
            ping();
        }
    }

    /** Checks the connection with a ping before it is used again; the pong leads to {@link Owner#ready}. */
    void probe() {
        if (state == State.READY) {
            state = State.PROBING;
            if (!monitor.pinging()) {
                ping();
            }
        }
    }

    /** Removes a written request whose future was cancelled and sends a cancel frame for it. */
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
        progress.update();
        boolean probing = state == State.PROBING;
        Activity activity = new Activity(
                monitor.pinging() || !inFlight.isEmpty(),
                probing && inFlight.isEmpty(),
                progress.hasPendingBytes(),
                progress.progressed());
        applyVerdict(monitor.tickOutbound(now, activity));
        closeWhenFinished();
    }

    /** Closes the connection in an orderly way; no more messages may be written to it. */
    void close(String reason) {
        recordEndReason(reason);
        state = State.FINISHING;
        ChannelActions.close(channel);
    }

    /** Returns the state of the connection for operators. Thread safe. */
    ConnectionSnapshot snapshot() {
        return new ConnectionSnapshot(
                ConnectionSnapshot.Direction.MADE, address, peer, state.name().toLowerCase(Locale.ROOT), outstanding);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ChannelActions.write(ctx.channel(), context.hello().frame());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        if (state == State.CLOSED) {
            return;
        }
        switch (frame.getKindCase()) {
            case HELLO -> handleHello(frame.getHello());
            case REPLY -> handleReply(frame.getReply());
            case PONG -> handlePong(frame.getPong().getNumber());
            case PING -> ChannelActions.pong(channel, frame.getPing().getNumber());
            case GO_AWAY -> handleGoAway(frame.getGoAway().getLastRequestId());
            default -> context.counters().unknownFrame();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        recordEndReason("the connection to " + address + " failed: " + cause.getMessage());
        ChannelActions.abort(channel);
    }

    private void bytesRead() {
        lastReadAt = context.now();
        monitor.bytesRead();
    }

    private void handleHello(Hello hello) {
        if (state != State.CONNECTING) {
            abandon("it said hello twice");
            return;
        }
        Optional<String> rejection =
                context.hello().rejectionReason(hello, context.expectation().nodeAt(address));
        if (rejection.isPresent()) {
            log.atWarning().log("can't use the peer at %s: %s", address, rejection.get());
            abandon(rejection.get());
            return;
        }
        PeerIdentity identity = HelloExchange.identity(hello);
        peer = Optional.of(identity);
        peerMaxFrameBytes = hello.getMaxFrameBytes();
        state = State.READY;
        owner.opened(this);
        context.record(EventKind.PEER_CONNECTED, identity.node().value(), "connected to " + address);
        owner.ready(this);
    }

    private void handleReply(Reply reply) {
        OutboundMessage message = remove(reply.getId());
        if (message == null) {
            context.counters().droppedReply();
            return;
        }
        monitor.deliveryConfirmed(message.sentAt());
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

    private void handlePong(long number) {
        monitor.pongReceived(number);
        if (state == State.PROBING && !monitor.pinging()) {
            state = State.READY;
            owner.ready(this);
        }
    }

    /**
     * Handles the go-away frame of the peer.
     *
     * @param lastAcceptedId the last request that the peer runs and replies to; requests with a higher id fail as not
     *     sent
     */
    private void handleGoAway(long lastAcceptedId) {
        if (state == State.FINISHING) {
            return;
        }
        state = State.FINISHING;
        owner.finishing(this);
        List<OutboundMessage> refused = removeIf(message -> message.id() > lastAcceptedId);
        refused.forEach(message -> message.fail(Kind.NOT_SENT, "the node at " + address + " is leaving"));
        closeWhenFinished();
    }

    private void closeWhenFinished() {
        if (state == State.FINISHING && inFlight.isEmpty() && endReason == null) {
            close("the node at " + address + " is leaving");
        }
    }

    private void tickConnecting(long now) {
        if (now - connectStartedAt >= context.limits().connectTimeout().toNanos()) {
            abandon("no connection and hello in time");
        }
    }

    private void expire(long now) {
        for (OutboundMessage message : removeIf(late -> late.overdue(now))) {
            writeCancel(message.id());
            message.fail(Kind.TIMED_OUT, "no reply from " + address + " in time");
        }
    }

    private void applyVerdict(Verdict verdict) {
        if (verdict == Verdict.PING) {
            ping();
        }
        if (verdict.abandon()) {
            context.counters().connectionStalled();
            context.record(
                    EventKind.PEER_CONNECTION_STALLED,
                    peer.map(identity -> identity.node().value()).orElse(address.toString()),
                    "abandoned with " + inFlight.size() + " requests waiting: " + verdict.reason());
            abandon(verdict.reason());
        }
    }

    private void abandon(String reason) {
        recordEndReason("the connection to " + address + " was given up: " + reason);
        ChannelActions.abort(channel);
    }

    private void writeCancel(long id) {
        if (state != State.CLOSED && channel.isActive()) {
            Cancel.Builder cancel = Cancel.newBuilder().setId(id);
            ChannelActions.write(channel, Frame.newBuilder().setCancel(cancel).build());
        }
    }

    private OutboundMessage remove(long id) {
        OutboundMessage message = inFlight.remove(id);
        outstanding = inFlight.size();
        return message;
    }

    private List<OutboundMessage> removeIf(Predicate<OutboundMessage> condition) {
        List<OutboundMessage> removed = new ArrayList<>();
        for (OutboundMessage message : inFlight.values()) {
            if (condition.test(message)) {
                removed.add(message);
            }
        }
        removed.forEach(message -> inFlight.remove(message.id()));
        outstanding = inFlight.size();
        return removed;
    }

    /** Records why the connection ended, unless a reason is recorded: the first one is the cause of later ones. */
    private void recordEndReason(String reason) {
        if (endReason == null) {
            endReason = reason;
        }
    }

    private void channelClosed() {
        if (connected.cause() != null) {
            recordEndReason(
                    "no connection to " + address + ": " + connected.cause().getMessage());
        }
        recordEndReason("the connection to " + address + " was closed by the peer");
        boolean opened = peer.isPresent();
        state = State.CLOSED;
        owner.closed(this, opened, endReason);
        removeIf(message -> true).forEach(message -> message.fail(Kind.LOST, endReason));
    }

    /** The state of a connection. */
    private enum State {
        CONNECTING,
        READY,
        PROBING,
        FINISHING,
        CLOSED
    }

    /**
     * Receives the state changes of a connection.
     *
     * <p>The methods are called on the event loop of the connection, before the futures of its requests fail.
     */
    interface Owner {

        /** Called when the hello of the peer has been validated; a call of {@link #ready} follows. */
        void opened(OutboundConnection connection);

        /** Called when messages can be written: after the hello has been validated or a probe has been answered. */
        void ready(OutboundConnection connection);

        /** Called when the peer accepts no new requests on the connection. */
        void finishing(OutboundConnection connection);

        /**
         * Called when the connection has ended.
         *
         * @param opened whether the hello of the peer had been validated
         */
        void closed(OutboundConnection connection, boolean opened, String reason);
    }
}
