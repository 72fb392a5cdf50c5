package io.beryldock.eventloop;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * The traffic threads: peer connections, HTTP connections and the timers of requests.
 *
 * <p>A request that stays on one thread costs no wake-up between them; several nodes of one process may share them.
 *
 * <p>Thread safe. Whoever creates it closes it, after what runs on it.
 */
public final class EventLoops implements AutoCloseable {

    private static final long QUIET_MILLIS = 0;
    private static final long STOP_MILLIS = 2000;

    private final EventLoopGroup group;

    private EventLoops(EventLoopGroup group) {
        this.group = group;
    }

    /** Starts {@code threads} daemon threads. */
    public static EventLoops create(int threads) {
        return create("traffic", threads);
    }

    /** Starts daemon threads of that name. */
    public static EventLoops create(String name, int threads) {
        DefaultThreadFactory factory = new DefaultThreadFactory(name, true);
        return new EventLoops(new MultiThreadIoEventLoopGroup(threads, factory, NioIoHandler.newFactory()));
    }

    public EventLoopGroup group() {
        return group;
    }

    public EventLoop next() {
        return group.next();
    }

    @Override
    public void close() {
        var unused = group.shutdownGracefully(QUIET_MILLIS, STOP_MILLIS, TimeUnit.MILLISECONDS);
    }
}
