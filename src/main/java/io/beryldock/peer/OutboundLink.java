package io.beryldock.peer;

import com.google.protobuf.ByteString;
import io.beryldock.peer.PeerException.Kind;
import io.beryldock.wire.Cancel;
import io.beryldock.wire.Frame;
import io.beryldock.wire.Notice;
import io.beryldock.wire.Reply;
import io.beryldock.wire.Request;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The one connection that this node makes to one address, on use. Its state is used on its event loop only. */
final class OutboundLink {

    private final PeerHub hub;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final Deque<OutboundRequest> waiting = new ArrayDeque<>();
    private final Map<Long, OutboundRequest> sent = new HashMap<>();
    private Channel channel;
    private boolean ready;
    private long lastId;
    private Optional<PeerIdentity> peer = Optional.empty();

    OutboundLink(PeerHub hub, InetSocketAddress address, EventLoop loop) {
        this.hub = hub;
        this.address = address;
        this.loop = loop;
    }

    CompletableFuture<ByteString> request(int topic, ByteString body, long deadline) {
        OutboundRequest request = new OutboundRequest(topic, body, deadline);
        run(() -> submit(request));
        return request.reply();
    }

    void send(int topic, ByteString body) {
        run(() -> {
            if (ready) {
                Notice notice =
                        Notice.newBuilder().setTopic(topic).setBody(body).build();
                ChannelActions.write(
                        channel, Frame.newBuilder().setNotice(notice).build());
            } else {
                connect();
            }
        });
    }

    void close() {
        run(() -> {
            if (channel != null) {
                ChannelActions.close(channel);
            }
        });
    }

    void expire(long now) {
        run(() -> {
            removeExpired(waiting.iterator(), now, Kind.NOT_SENT);
            removeExpired(sent.values().iterator(), now, Kind.TIMED_OUT);
        });
    }

    CompletableFuture<ConnectionSnapshot> snapshot() {
        CompletableFuture<ConnectionSnapshot> result = new CompletableFuture<>();
        run(() -> result.complete(new ConnectionSnapshot(
                ConnectionSnapshot.Direction.MADE, address, peer, ready ? "ready" : "closed", sent.size())));
        return result;
    }

    private void run(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    private void submit(OutboundRequest request) {
        if (ready) {
            write(request);
        } else if (waiting.size() < hub.settings().limits().maxWaitingRequests()) {
            waiting.add(request);
            connect();
        } else {
            request.fail(Kind.NOT_SENT, "too many requests wait for the connection to " + address);
        }
    }

    private void write(OutboundRequest request) {
        if (!channel.isWritable()) {
            request.fail(Kind.NOT_SENT, "the connection to " + address + " has too much to write");
            return;
        }
        long id = ++lastId;
        sent.put(id, request);
        Request message = Request.newBuilder()
                .setId(id)
                .setTopic(request.topic())
                .setBody(request.body())
                .build();
        ChannelActions.write(channel, Frame.newBuilder().setRequest(message).build());
        var unused = request.reply().whenComplete((body, failure) -> {
            if (request.reply().isCancelled()) {
                run(() -> cancel(id));
            }
        });
    }

    private void cancel(long id) {
        if (sent.remove(id) != null && ready) {
            Cancel cancel = Cancel.newBuilder().setId(id).build();
            ChannelActions.write(channel, Frame.newBuilder().setCancel(cancel).build());
        }
    }

    private void connect() {
        if (channel != null) {
            return;
        }
        ChannelFuture future = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        hub.settings().limits().connectTimeout().toMillis())
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(
                                hub.settings().limits().maxBufferedBytes() / 2,
                                hub.settings().limits().maxBufferedBytes()))
                .handler(new LinkInitializer())
                .connect(address);
        channel = future.channel();
        var unused = future.addListener(done -> {
            if (!done.isSuccess()) {
                lost("no connection to " + address + ": " + done.cause().getMessage());
            }
        });
    }

    private void lost(String message) {
        channel = null;
        ready = false;
        List<OutboundRequest> unsent = new ArrayList<>(waiting);
        List<OutboundRequest> unanswered = new ArrayList<>(sent.values());
        waiting.clear();
        sent.clear();
        unsent.forEach(request -> request.fail(Kind.NOT_SENT, message));
        unanswered.forEach(request -> request.fail(Kind.LOST, message));
    }

    private void helloFrom(PeerIdentity identity) {
        peer = Optional.of(identity);
        ready = true;
        while (!waiting.isEmpty()) {
            write(waiting.poll());
        }
    }

    private void answered(Reply reply) {
        OutboundRequest request = sent.remove(reply.getId());
        if (request == null) {
            hub.counters().droppedReply();
        } else {
            request.reply().complete(reply.getBody());
        }
    }

    private static void removeExpired(Iterator<OutboundRequest> requests, long now, Kind kind) {
        while (requests.hasNext()) {
            OutboundRequest request = requests.next();
            if (request.deadline() - now <= 0) {
                requests.remove();
                request.fail(kind, "no reply in time");
            }
        }
    }

    /** Sets up the pipeline of a connection of this link. */
    private final class LinkInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel ch) {
            ch.pipeline()
                    .addLast(new FrameDecoder(hub.settings().limits().maxFrameBytes(), hub.counters()))
                    .addLast(new FrameEncoder(hub.counters()))
                    .addLast(new LinkHandler());
        }
    }

    /** Takes the frames of a connection of this link. */
    private final class LinkHandler extends SimpleChannelInboundHandler<Frame> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ChannelActions.write(ctx.channel(), hub.hello());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
            switch (frame.getKindCase()) {
                case HELLO -> helloFrom(PeerIdentity.of(frame.getHello()));
                case REPLY -> answered(frame.getReply());
                default -> hub.counters().droppedReply();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lost("the connection to " + address + " was lost");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ChannelActions.close(ctx.channel());
        }
    }
}
