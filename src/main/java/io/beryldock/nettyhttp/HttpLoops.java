package io.beryldock.nettyhttp;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * The traffic threads of HTTP connections.
 *
 * <p>Thread safe. Whoever creates it closes it, after the listeners and clients on it.
 */
public final class HttpLoops implements AutoCloseable {

    private static final long QUIET_MILLIS = 0;
    private static final long STOP_MILLIS = 500;

    private final EventLoopGroup group;

    private HttpLoops(EventLoopGroup group) {
        this.group = group;
    }

    /** Starts {@code threads} daemon threads. */
    public static HttpLoops create(int threads) {
        DefaultThreadFactory factory = new DefaultThreadFactory("http", true);
        return new HttpLoops(new MultiThreadIoEventLoopGroup(threads, factory, NioIoHandler.newFactory()));
    }

    EventLoopGroup group() {
        return group;
    }

    @Override
    public void close() {
        var unused = group.shutdownGracefully(QUIET_MILLIS, STOP_MILLIS, TimeUnit.MILLISECONDS);
    }
}
