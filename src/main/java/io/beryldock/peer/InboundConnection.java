package io.beryldock.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.peer.LivenessMonitor.Load;
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
 * <p>Invariants: nothing but a hello is taken first; request ids rise, so that a frame that comes twice can't run
 * twice; a request is open until its reply, its cancellation or the end of the connection, whichever is first; after
 * this node has said that it goes away, no request with a higher id reaches a handler. It stops reading while the peer
 * doesn't read its replies, so that these stay bounded. Used on its event loop only, but for {@link #tick}, {@link
 * #goAway}, {@link #close} and {@link #snapshot}.
 */
final class InboundConnection extends SimpleChannelInboundHandler<Frame> {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    private final PeerHub hub;
    private final Channel channel;
    private final InetSocketAddress address;
    private final long acceptedAt;
    private final LivenessMonitor monitor;
    private final WriteProgress progress;
    private final LongObjectMap<InboundRequest> open = new LongObjectHashMap<>();
    private final LoopTick tick = new LoopTick(this::tickOnLoop);
    private long lastId;
    private int peerMaxFrameBytes;
    private boolean goingAway;
    private volatile long readAt;
    private volatile boolean inUse = true;
    private volatile int outstanding;
    private volatile State state = State.GREETING;
    private volatile Optional<PeerIdentity> peer = Optional.empty();

    private InboundConnection(PeerHub hub, Channel channel, InetSocketAddress address) {
        super(Frame.class);
        this.hub = hub;
        this.channel = channel;
        this.address = address;
        this.acceptedAt = hub.now();
        this.readAt = acceptedAt;
        this.monitor = new LivenessMonitor(hub.liveness());
        this.progress = new WriteProgress(channel);
    }

    static InboundConnection create(PeerHub hub, Channel channel) {
        return new InboundConnection(hub, channel, (InetSocketAddress) channel.remoteAddress());
    }

    /** Bytes came in, perhaps not yet a whole frame. */
    void bytesRead() {
        readAt = hub.now();
        monitor.read();
    }

    /** Looks after liveness, if there is anything to look after. */
    void tick(long now) {
        if (inUse || idle(now)) {
            tick.post(channel.eventLoop());
        }
    }

    /** Tells the peer that requests after those taken so far will not run. */
    void goAway() {
        LoopTasks.run(channel.eventLoop(), this::goAwayOnLoop);
    }

    void close() {
        ChannelActions.close(channel);
    }

    /** Requests without reply; thread safe. */
    int outstanding() {
        return outstanding;
    }

    /** State for operators; thread safe. */
    ConnectionSnapshot snapshot() {
        String text = state.name().toLowerCase(Locale.ROOT);
        return new ConnectionSnapshot(ConnectionSnapshot.Direction.ACCEPTED, address, peer, text, outstanding);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ChannelActions.write(channel, hub.hello().frame());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        if (state == State.GREETING && !frame.hasHello()) {
            abandon("it didn't say hello first");
            return;
        }
        switch (frame.getKindCase()) {
            case HELLO -> greet(frame.getHello());
            case REQUEST -> take(frame.getRequest());
            case NOTICE -> take(frame.getNotice());
            case CANCEL -> cancel(frame.getCancel().getId());
            case PING -> ChannelActions.pong(channel, frame.getPing().getNumber());
            default -> hub.counters().unknownFrame();
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
        List<InboundRequest> lost = List.copyOf(open.values());
        open.clear();
        outstanding = 0;
        lost.forEach(InboundRequest::cancel);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (state == State.GREETING) {
            log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "a peer at %s could not prove itself (%s); compare its peers.tls settings with this node's",
                    address, cause.getMessage());
        }
        ChannelActions.abort(channel);
    }

    private void greet(Hello hello) {
        if (state != State.GREETING) {
            abandon("it said hello twice");
            return;
        }
        Optional<String> fault = hub.hello().fault(hello, Optional.empty());
        if (fault.isPresent()) {
            abandon(fault.get());
            return;
        }
        PeerIdentity identity = HelloExchange.identity(hello);
        if (hub.hello().sameIdAsSelf(identity)) {
            log.atWarning().log(
                    "the process at %s goes by this node's id %s; give each node an id of its own",
                    address, identity.node());
        }
        peer = Optional.of(identity);
        peerMaxFrameBytes = hello.getMaxFrameBytes();
        state = State.READY;
    }

    private void take(Request request) {
        long id = request.getId();
        if (id <= lastId) {
            abandon("it used a request id twice");
            return;
        }
        if (goingAway) {
            return;
        }
        lastId = id;
        inUse = true;
        InboundRequest inbound =
                InboundRequest.create(sender(), request.getBody(), (body, failure) -> reply(id, body, failure));
        open.put(id, inbound);
        outstanding = open.size();
        hub.handler(request.getTopic())
                .ifPresentOrElse(handler -> call(handler, inbound), () -> inbound.fail(ReplyFailure.REPLY_NO_HANDLER));
    }

    private void take(Notice notice) {
        InboundRequest inbound = InboundRequest.create(sender(), notice.getBody(), (body, failure) -> {});
        hub.handler(notice.getTopic()).ifPresent(handler -> call(handler, inbound));
    }

    private static void call(PeerHandler handler, InboundRequest request) {
        try {
            handler.handle(request);
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log("a handler of peer messages failed");
            request.fail(ReplyFailure.REPLY_HANDLER_FAILED);
        }
    }

    private void cancel(long id) {
        InboundRequest request = open.remove(id);
        outstanding = open.size();
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
        if (open.remove(reply.getId()) == null) {
            return;
        }
        outstanding = open.size();
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
        long now = hub.now();
        if (!channel.isActive()) {
            inUse = false;
            return;
        }
        if (state == State.GREETING) {
            tickGreeting(now);
            return;
        }
        progress.look();
        boolean awaiting = !open.isEmpty() || goingAway;
        Load load = new Load(awaiting, false, progress.writing(), progress.wroteSome());
        Verdict verdict = monitor.tickAccepted(now, load, channel.config().isAutoRead());
        inUse = awaiting || progress.writing();
        if (verdict.abandon()) {
            stalled(verdict);
        } else if (!inUse && idle(now)) {
            close();
        }
    }

    private void tickGreeting(long now) {
        if (now - acceptedAt >= hub.limits().connectTimeout().toNanos()) {
            abandon("it said no hello in time");
        }
    }

    private void stalled(Verdict verdict) {
        hub.counters().stalled();
        hub.record(
                EventKind.PEER_CONNECTION_STALLED,
                sender(),
                "abandoned with " + open.size() + " of its requests running here: " + verdict.reason());
        abandon(verdict.reason());
    }

    private void abandon(String reason) {
        log.atInfo().log("the connection from %s was given up: %s", address, reason);
        ChannelActions.abort(channel);
    }

    /** Longer than its maker lets it be idle: the maker is gone without a sign. */
    private boolean idle(long now) {
        return now - readAt >= 2 * hub.liveness().idleClose().toNanos();
    }

    private String sender() {
        return peer.map(identity -> identity.node().value()).orElse("");
    }

    /** What an accepted connection does now. */
    private enum State {
        GREETING,
        READY,
        LEAVING,
        CLOSED
    }
}
