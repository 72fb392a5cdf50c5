package io.beryldock.nettyhttp;

import io.beryldock.eventloop.EventLoops;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * A listener for HTTP/1.1.
 *
 * <p>Thread safe. The limits are asked for with each connection, so that changed ones hold for new connections.
 */
public final class HttpServer implements AutoCloseable {

    /** Connections that wait to be accepted; a full queue drops the opening packet, which is sent again a second on. */
    private static final int BACKLOG = 1024;

    private static final int MAX_LINE_BYTES = 16 << 10;
    private static final int CHUNK_BYTES = 16 << 10;

    private final Channel channel;

    private HttpServer(Channel channel) {
        this.channel = channel;
    }

    /** Binds the address and takes requests. */
    public static HttpServer bind(
            InetSocketAddress address, EventLoops loops, Supplier<HttpServerLimits> limits, HttpHandler handler)
            throws IOException, InterruptedException {
        ChannelFuture bound = new ServerBootstrap()
                .group(loops.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // A client that shuts its sending side has gone; half-open connections are not kept.
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        initialise(accepted, limits.get(), handler);
                    }
                })
                .bind(address)
                .await();
        if (!bound.isSuccess()) {
            throw new IOException("the listener can't bind " + address + ": free the address", bound.cause());
        }
        return new HttpServer(bound.channel());
    }

    private static void initialise(Channel accepted, HttpServerLimits limits, HttpHandler handler) {
        accepted.pipeline()
                .addLast(new HttpRequestDecoder(MAX_LINE_BYTES, limits.maxHeaderBytes(), CHUNK_BYTES))
                .addLast(new HttpResponseEncoder())
                .addLast(new HttpServerConnection(limits, handler));
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Takes no further connections; open ones go on. */
    @Override
    public void close() {
        channel.close();
    }
}
