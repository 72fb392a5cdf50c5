package io.beryldock.eventloop;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * The event loop threads, which run peer connections, HTTP connections and request timers.
 *
 * <p>A request whose steps all run on one event loop needs no thread wake-up between them. Several nodes in one process
 * may share the event loops.
 *
 * <p>Thread safe. The creator closes the event loops, after the components that run on them.
 */
public final class EventLoops implements AutoCloseable {

    private static final long SHUTDOWN_QUIET_MILLIS = 0;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2000;

    private final EventLoopGroup group;

    private EventLoops(EventLoopGroup group) {
        this.group = group;
    }

    /** Creates event loops on {@code threads} daemon threads. */
    public static EventLoops create(int threads) {
        return create("traffic", threads);
    }

    /** Creates event loops on {@code threads} daemon threads whose names start with {@code name}. */
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
        var unused = group.shutdownGracefully(SHUTDOWN_QUIET_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
