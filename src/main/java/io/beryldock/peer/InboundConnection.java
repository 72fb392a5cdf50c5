package io.beryldock.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import io.beryldock.wire.Frame;
import io.beryldock.wire.Notice;
import io.beryldock.wire.Reply;
import io.beryldock.wire.Request;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A connection that a peer made to this node. Its state is used on its event loop only. */
final class InboundConnection extends SimpleChannelInboundHandler<Frame> {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final PeerHub hub;
    private final Map<Long, InboundRequest> open = new HashMap<>();
    private ChannelHandlerContext context;
    private Optional<PeerIdentity> peer = Optional.empty();

    InboundConnection(PeerHub hub) {
        this.hub = hub;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        ChannelActions.write(ctx.channel(), hub.hello());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        if (peer.isEmpty() && !frame.hasHello()) {
            ChannelActions.close(ctx.channel());
            return;
        }
        switch (frame.getKindCase()) {
            case HELLO -> peer = Optional.of(PeerIdentity.of(frame.getHello()));
            case REQUEST -> take(frame.getRequest());
            case NOTICE -> take(frame.getNotice());
            case CANCEL -> cancel(frame.getCancel().getId());
            default -> hub.counters().droppedReply();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        List<InboundRequest> lost = List.copyOf(open.values());
        open.clear();
        lost.forEach(InboundRequest::cancel);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ChannelActions.close(ctx.channel());
    }

    void close() {
        ChannelActions.close(context.channel());
    }

    CompletableFuture<ConnectionSnapshot> snapshot() {
        CompletableFuture<ConnectionSnapshot> result = new CompletableFuture<>();
        InetSocketAddress address = (InetSocketAddress) context.channel().remoteAddress();
        context.executor()
                .execute(() -> result.complete(new ConnectionSnapshot(
                        ConnectionSnapshot.Direction.ACCEPTED, address, peer, "ready", open.size())));
        return result;
    }

    private void take(Request request) {
        long id = request.getId();
        InboundRequest inbound = new InboundRequest(sender(), request.getBody(), body -> reply(id, body));
        open.put(id, inbound);
        hub.handler(request.getTopic()).ifPresent(handler -> call(handler, inbound));
    }

    private void take(Notice notice) {
        InboundRequest inbound = new InboundRequest(sender(), notice.getBody(), body -> {});
        hub.handler(notice.getTopic()).ifPresent(handler -> call(handler, inbound));
    }

    private static void call(PeerHandler handler, InboundRequest request) {
        try {
            handler.handle(request);
        } catch (RuntimeException e) {
            log.atSevere().withCause(e).log("a handler of peer messages failed");
        }
    }

    private void cancel(long id) {
        InboundRequest request = open.remove(id);
        if (request != null) {
            request.cancel();
        }
    }

    private void reply(long id, ByteString body) {
        Reply reply = Reply.newBuilder().setId(id).setBody(body).build();
        context.executor().execute(() -> {
            if (open.remove(id) != null) {
                ChannelActions.write(
                        context.channel(), Frame.newBuilder().setReply(reply).build());
            }
        });
    }

    private String sender() {
        return peer.map(identity -> identity.node().value()).orElse("");
    }
}
