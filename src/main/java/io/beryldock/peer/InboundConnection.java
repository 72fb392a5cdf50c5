package io.beryldock.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.peer.LivenessMonitor.Activity;
import io.beryldock.peer.LivenessMonitor.Verdict;
import io.beryldock.timeline.EventKind;
import io.beryldock.wire.Frame;
import io.beryldock.wire.GoAway;
import io.beryldock.wire.Hello;
import io.beryldock.wire.Notice;
import io.beryldock.wire.Reply;
import io.beryldock.wire.ReplyFailure;
import io.beryldock.wire.Request;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.collection.LongObjectMap;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A connection that a peer made to this node.
 *
 * <p>Invariants: the first frame must be a hello; request ids increase, so that a duplicate frame can't run a request
 * twice; a request is open until its reply, its cancellation or the end of the connection, whichever comes first; after
 * this node has sent its go-away frame, no request with a higher id than the frame names reaches a handler. The
 * connection stops reading requests while the peer doesn't read replies, which bounds the memory of buffered replies.
 *
 * <p>Confined to its event loop, except {@link #tick}, {@link #goAway}, {@link #close}, {@link #outstanding} and
 * {@link #snapshot}.
 */
final class InboundConnection extends SimpleChannelInboundHandler<Frame> {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 10;

    private final PeerTransportContext context;
    private final Channel channel;
    private final InetSocketAddress address;
    private final long acceptedAt;
    private final LivenessMonitor monitor;
    private final WriteProgress progress;
    private final LongObjectMap<InboundRequest> openRequests = new LongObjectHashMap<>();
    private final LoopTick tick = new LoopTick(this::tickOnLoop);
    private long lastId;
    private int peerMaxFrameBytes;
    private boolean goingAway;
    private volatile long lastReadAt;
    private volatile boolean inUse = true;
    private volatile int outstanding;
    private volatile State state = State.GREETING;
    private volatile Optional<PeerIdentity> peer = Optional.empty();

    private InboundConnection(PeerTransportContext context, Channel channel, InetSocketAddress address) {
        super(Frame.class);
        this.context = context;
        this.channel = channel;
        this.address = address;
        this.acceptedAt = context.now();
        this.lastReadAt = acceptedAt;
        this.monitor = new LivenessMonitor(context.liveness());
        this.progress = new WriteProgress(channel);
    }

    static InboundConnection create(PeerTransportContext context, Channel channel) {
        return new InboundConnection(context, channel, (InetSocketAddress) channel.remoteAddress());
    }

    /** Records that bytes were received, possibly only a part of a frame. */
    void bytesRead() {
        lastReadAt = context.now();
        monitor.bytesRead();
    }

    /** Checks the liveness of the connection on its event loop if it is in use or has been idle for too long. */
    void tick(long now) {
        if (inUse || idle(now)) {
            tick.post(channel.eventLoop());
        }
    }

    /** Sends a go-away frame: requests after those accepted so far will not run. */
    void goAway() {
        LoopTasks.run(channel.eventLoop(), this::goAwayOnLoop);
    }

    void close() {
        ChannelActions.close(channel);
    }

    /** Returns the number of requests that have no reply yet. Thread safe. */
    int outstanding() {
        return outstanding;
    }

    /** Returns the state of the connection for operators. Thread safe. */
    ConnectionSnapshot snapshot() {
        String text = state.name().toLowerCase(Locale.ROOT);
        return new ConnectionSnapshot(ConnectionSnapshot.Direction.ACCEPTED, address, peer, text, outstanding);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ChannelActions.write(channel, context.hello().frame());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        if (state == State.GREETING && !frame.hasHello()) {
            abandon("its first frame is not a hello");
            return;
        }
        switch (frame.getKindCase()) {
            case HELLO -> handleHello(frame.getHello());
            case REQUEST -> handleRequest(frame.getRequest());
            case NOTICE -> handleNotice(frame.getNotice());
            case CANCEL -> handleCancel(frame.getCancel().getId());
            case PING -> ChannelActions.pong(channel, frame.getPing().getNumber());
            default -> context.counters().unknownFrame();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        channel.config().setAutoRead(channel.isWritable());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        state = State.CLOSED;
        inUse = false;
        List<InboundRequest> lost = List.copyOf(openRequests.values());
        openRequests.clear();
        outstanding = 0;
        lost.forEach(InboundRequest::cancel);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (state == State.GREETING) {
            log.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "the handshake with the peer at %s failed (%s); compare its peers.tls settings with this node's",
                    address, cause.getMessage());
        }
        ChannelActions.abort(channel);
    }

    private void handleHello(Hello hello) {
        if (state != State.GREETING) {
            abandon("it sent a second hello");
            return;
        }
        Optional<String> rejection = context.hello().rejectionReason(hello, Optional.empty());
        if (rejection.isPresent()) {
            abandon(rejection.get());
            return;
        }
        PeerIdentity identity = HelloExchange.identity(hello);
        if (context.hello().sameIdAsSelf(identity)) {
            log.atWarning().log(
                    "the process at %s uses the id %s of this node; give each node a unique id",
                    address, identity.node());
        }
        peer = Optional.of(identity);
        peerMaxFrameBytes = hello.getMaxFrameBytes();
        state = State.READY;
    }

    private void handleRequest(Request request) {
        long id = request.getId();
        if (id <= lastId) {
            abandon("it sent a request id that is not higher than the previous one");
            return;
        }
        if (goingAway) {
            return;
        }
        lastId = id;
        inUse = true;
        InboundRequest inbound =
                InboundRequest.create(sender(), request.getBody(), (body, failure) -> reply(id, body, failure));
        openRequests.put(id, inbound);
        outstanding = openRequests.size();
        context.handler(request.getTopic())
                .ifPresentOrElse(
                        handler -> invokeHandler(handler, inbound), () -> inbound.fail(ReplyFailure.REPLY_NO_HANDLER));
    }

    private void handleNotice(Notice notice) {
        InboundRequest inbound = InboundRequest.create(sender(), notice.getBody(), (body, failure) -> {});
        context.handler(notice.getTopic()).ifPresent(handler -> invokeHandler(handler, inbound));
    }

    private static void invokeHandler(PeerHandler handler, InboundRequest request) {
        try {
            handler.handle(request);
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log("a peer message handler failed");
            request.fail(ReplyFailure.REPLY_HANDLER_FAILED);
        }
    }

    private void handleCancel(long id) {
        InboundRequest request = openRequests.remove(id);
        outstanding = openRequests.size();
        if (request != null) {
            request.cancel();
        }
    }

    private void reply(long id, ByteString body, ReplyFailure failure) {
        Reply reply =
                Reply.newBuilder().setId(id).setBody(body).setFailure(failure).build();
        LoopTasks.run(channel.eventLoop(), () -> replyOnLoop(reply));
    }

    private void replyOnLoop(Reply reply) {
        if (openRequests.remove(reply.getId()) == null) {
            return;
        }
        outstanding = openRequests.size();
        Frame frame = Frame.newBuilder().setReply(reply).build();
        if (frame.getSerializedSize() > peerMaxFrameBytes) {
            Reply.Builder tooLarge = Reply.newBuilder().setId(reply.getId()).setFailure(ReplyFailure.REPLY_TOO_LARGE);
            frame = Frame.newBuilder().setReply(tooLarge).build();
        }
        ChannelActions.write(channel, frame);
    }

    private void goAwayOnLoop() {
        if (goingAway || !channel.isActive()) {
            return;
        }
        goingAway = true;
        inUse = true;
        state = state == State.READY ? State.LEAVING : state;
        GoAway.Builder goAway = GoAway.newBuilder().setLastRequestId(lastId);
        ChannelActions.write(channel, Frame.newBuilder().setGoAway(goAway).build());
    }

    private void tickOnLoop() {
        long now = context.now();
        if (!channel.isActive()) {
            inUse = false;
            return;
        }
        if (state == State.GREETING) {
            tickGreeting(now);
            return;
        }
        progress.update();
        boolean awaiting = !openRequests.isEmpty() || goingAway;
        Activity activity = new Activity(awaiting, false, progress.hasPendingBytes(), progress.progressed());
        Verdict verdict = monitor.tickInbound(now, activity, channel.config().isAutoRead());
        inUse = awaiting || progress.hasPendingBytes();
        if (verdict.abandon()) {
            abandonStalled(verdict);
        } else if (!inUse && idle(now)) {
            close();
        }
    }

    private void tickGreeting(long now) {
        if (now - acceptedAt >= context.limits().connectTimeout().toNanos()) {
            abandon("it sent no hello within the connect timeout");
        }
    }

    private void abandonStalled(Verdict verdict) {
        context.counters().connectionStalled();
        context.record(
                EventKind.PEER_CONNECTION_STALLED,
                sender(),
                "abandoned with " + openRequests.size() + " of its requests running here: " + verdict.reason());
        abandon(verdict.reason());
    }

    private void abandon(String reason) {
        log.atInfo().log("abandoned the connection from %s: %s", address, reason);
        ChannelActions.abort(channel);
    }

    /**
     * Whether the connection has been idle for twice the time after which the peer closes an idle connection, which
     * means that the peer is gone without closing it.
     */
    private boolean idle(long now) {
        return now - lastReadAt >= 2 * context.liveness().idleClose().toNanos();
    }

    private String sender() {
        return peer.map(identity -> identity.node().value()).orElse("");
    }

    /** The state of an accepted connection. */
    private enum State {
        GREETING,
        READY,
        LEAVING,
        CLOSED
    }
}
