package io.beryldock.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslHandler;
import java.net.InetSocketAddress;

/** Sets up the handlers of peer connections: TLS, joined flushes, frames, then the connection itself. Stateless. */
final class PeerPipeline {

    private static final int FLUSHES_JOINED = 64;

    private PeerPipeline() {}

    static void setUpMade(
            Channel channel, PeerHub hub, InetSocketAddress address, Runnable onBytes, ChannelHandler connection) {
        hub.tls().ifPresent(tls -> addTls(channel, tls.newMade(channel.alloc(), address)));
        addFrames(channel, hub, onBytes, connection);
    }

    static void setUpAccepted(Channel channel, PeerHub hub, Runnable onBytes, ChannelHandler connection) {
        hub.tls().ifPresent(tls -> addTls(channel, tls.newAccepted(channel.alloc())));
        addFrames(channel, hub, onBytes, connection);
    }

    static WriteBufferWaterMark waterMark(PeerLimits limits) {
        return new WriteBufferWaterMark(limits.maxBufferedBytes() / 2, limits.maxBufferedBytes());
    }

    private static void addTls(Channel channel, SslHandler handler) {
        // the time for the hello, kept by the connection, covers the handshake
        handler.setHandshakeTimeoutMillis(0);
        channel.pipeline().addLast(handler);
    }

    private static void addFrames(Channel channel, PeerHub hub, Runnable onBytes, ChannelHandler connection) {
        channel.pipeline()
                .addLast(new FlushConsolidationHandler(FLUSHES_JOINED, true))
                .addLast(new FrameDecoder(hub.limits().maxFrameBytes(), hub.counters(), onBytes))
                .addLast(new FrameEncoder(hub.counters()))
                .addLast(connection);
    }
}
