package io.beryldock.peer;

import com.google.common.flogger.FluentLogger;
import io.beryldock.eventloop.EventLoops;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * The listening socket of a transport and its accepted connections, whose number is limited.
 *
 * <p>After {@link #leave()} a go-away frame is sent on every connection, including one that is accepted concurrently
 * with the call.
 *
 * <p>Thread safe.
 */
final class PeerListener {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 10;
    private static final int BACKLOG = 1024;

    private final PeerTransportContext context;
    private final EventLoops loops;
    private final Set<InboundConnection> accepted = ConcurrentHashMap.newKeySet();
    private volatile Channel socket;
    private volatile boolean leaving;

    PeerListener(PeerTransportContext context, EventLoops loops) {
        this.context = context;
        this.loops = loops;
    }

    void bind() throws PeerStartException {
        InetSocketAddress address = context.settings().bind();
        ChannelFuture bound = new ServerBootstrap()
                .group(loops.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, PeerPipeline.waterMark(context.limits()))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new PeerStartException(
                    "peers.port: can't listen on " + address + " ("
                            + bound.cause().getMessage()
                            + "); free the port, or set another address and port under peers",
                    bound.cause());
        }
        socket = bound.channel();
    }

    InetSocketAddress localAddress() {
        return (InetSocketAddress) socket.localAddress();
    }

    void tick(long now) {
        accepted.forEach(connection -> connection.tick(now));
    }

    /** Stops accepting connections and sends a go-away frame on all open ones. */
    void leave() {
        leaving = true;
        ChannelActions.close(socket);
        accepted.forEach(InboundConnection::goAway);
    }

    boolean empty() {
        return accepted.isEmpty();
    }

    List<ConnectionSnapshot> snapshots() {
        return accepted.stream().map(InboundConnection::snapshot).toList();
    }

    void close() {
        if (socket != null) {
            ChannelActions.close(socket);
        }
        accepted.forEach(InboundConnection::close);
    }

    private void accept(Channel channel) {
        if (accepted.size() >= context.limits().maxAccepted()) {
            log.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "rejected a peer connection since %s are open, the maximum; look for a peer that opens many",
                    accepted.size());
            ChannelActions.close(channel);
            return;
        }
        InboundConnection connection = InboundConnection.create(context, channel);
        accepted.add(connection);
        var unused = channel.closeFuture().addListener(closed -> accepted.remove(connection));
        PeerPipeline.setUpInbound(channel, context, connection::bytesRead, connection);
        if (leaving) {
            channel.eventLoop().execute(connection::goAway);
        }
    }
}
