package io.beryldock.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslHandler;
import java.net.InetSocketAddress;

/**
 * Sets up the Netty pipeline of peer connections: TLS, flush consolidation, frame codec, then the connection handler.
 *
 * <p>Stateless.
 */
final class PeerPipeline {

    private static final int MAX_CONSOLIDATED_FLUSHES = 64;

    private PeerPipeline() {}

    static void setUpOutbound(
            Channel channel,
            PeerTransportContext context,
            InetSocketAddress address,
            Runnable onBytes,
            ChannelHandler connection) {
        context.tls().ifPresent(tls -> addTls(channel, tls.newClientHandler(channel.alloc(), address)));
        addFrames(channel, context, onBytes, connection);
    }

    static void setUpInbound(
            Channel channel, PeerTransportContext context, Runnable onBytes, ChannelHandler connection) {
        context.tls().ifPresent(tls -> addTls(channel, tls.newServerHandler(channel.alloc())));
        addFrames(channel, context, onBytes, connection);
    }

    static WriteBufferWaterMark waterMark(PeerLimits limits) {
        return new WriteBufferWaterMark(limits.maxBufferedBytes() / 2, limits.maxBufferedBytes());
    }

    private static void addTls(Channel channel, SslHandler handler) {
        // The connect timeout, which the connection handler enforces until the hello, covers the TLS handshake.
        handler.setHandshakeTimeoutMillis(0);
        channel.pipeline().addLast(handler);
    }

    private static void addFrames(
            Channel channel, PeerTransportContext context, Runnable onBytes, ChannelHandler connection) {
        channel.pipeline()
                .addLast(new FlushConsolidationHandler(MAX_CONSOLIDATED_FLUSHES, true))
                .addLast(new FrameDecoder(context.limits().maxFrameBytes(), context.counters(), onBytes))
                .addLast(new FrameEncoder(context.counters()))
                .addLast(connection);
    }
}
