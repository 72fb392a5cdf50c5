package io.beryldock.peer;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * The traffic threads of peer connections; several transports of one process may share them.
 *
 * <p>Thread safe. Whoever creates it closes it, after the transports on it.
 */
public final class PeerEventLoops implements AutoCloseable {

    private static final long QUIET_MILLIS = 0;
    private static final long STOP_MILLIS = 2000;

    private final EventLoopGroup group;

    private PeerEventLoops(EventLoopGroup group) {
        this.group = group;
    }

    /** Starts {@code threads} daemon threads. */
    public static PeerEventLoops create(int threads) {
        DefaultThreadFactory factory = new DefaultThreadFactory("peer", true);
        return new PeerEventLoops(new MultiThreadIoEventLoopGroup(threads, factory, NioIoHandler.newFactory()));
    }

    EventLoopGroup group() {
        return group;
    }

    EventLoop next() {
        return group.next();
    }

    @Override
    public void close() {
        var unused = group.shutdownGracefully(QUIET_MILLIS, STOP_MILLIS, TimeUnit.MILLISECONDS);
    }
}
