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
 * The listening socket and the connections accepted from it, bounded in number. Thread safe.
 *
 * <p>After {@link #leave()} every connection, also one that was accepted at that very moment, is told to go away.
 */
final class PeerListener {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;
    private static final int BACKLOG = 1024;

    private final PeerHub hub;
    private final EventLoops loops;
    private final Set<InboundConnection> accepted = ConcurrentHashMap.newKeySet();
    private volatile Channel socket;
    private volatile boolean leaving;

    PeerListener(PeerHub hub, EventLoops loops) {
        this.hub = hub;
        this.loops = loops;
    }

    void bind() throws PeerStartException {
        InetSocketAddress address = hub.settings().bind();
        ChannelFuture bound = new ServerBootstrap()
                .group(loops.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, PeerPipeline.waterMark(hub.limits()))
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

    /** Accepts no more and tells all connected peers that this node goes away. */
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
        if (accepted.size() >= hub.limits().maxAccepted()) {
            log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "%s peer connections are open and no more are accepted; look for a peer that opens many",
                    accepted.size());
            ChannelActions.close(channel);
            return;
        }
        InboundConnection connection = InboundConnection.create(hub, channel);
        accepted.add(connection);
        var unused = channel.closeFuture().addListener(closed -> accepted.remove(connection));
        PeerPipeline.setUpAccepted(channel, hub, connection::bytesRead, connection);
        if (leaving) {
            channel.eventLoop().execute(connection::goAway);
        }
    }
}
