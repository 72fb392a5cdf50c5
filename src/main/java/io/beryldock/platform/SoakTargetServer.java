package io.beryldock.platform;

import io.beryldock.eventloop.EventLoops;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** The listener of a soak target, which writes responses byte by byte, right or wrong. Stateless. */
final class SoakTargetServer {

    private static final int MAX_REQUEST_BYTES = 1 << 20;

    private SoakTargetServer() {}

    /** Accepts the start and the end of each response without end. Thread safe. */
    interface EndlessListener {

        /** A response without end begins; returns the task that accepts the number of bytes at its end. */
        LongConsumer began(SoakDefect defect);
    }

    /** Binds the address, port 0 for a free one; returns the address bound. */
    static InetSocketAddress bind(
            InetSocketAddress address, EventLoops loops, Consumer<SoakExchange> handler, EndlessListener endless)
            throws IOException, InterruptedException {
        ChannelFuture bound = new ServerBootstrap()
                .group(loops.group())
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accepted.pipeline()
                                .addLast(new HttpRequestDecoder())
                                .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                .addLast(new SoakTargetConnection(handler, endless));
                    }
                })
                .bind(address)
                .await();
        if (!bound.isSuccess()) {
            throw new IOException("the soak target can't bind " + address + ": free the address", bound.cause());
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }
}
