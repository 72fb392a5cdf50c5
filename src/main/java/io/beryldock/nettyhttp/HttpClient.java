package io.beryldock.nettyhttp;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.SetMultimap;
import io.beryldock.eventloop.EventLoops;
import io.beryldock.eventloop.LoopTimerService;
import io.beryldock.nettyhttp.HttpExchangeException.Kind;
import io.beryldock.time.TimerService;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Sends HTTP/1.1 requests over kept connections, one request at a time on each, never one twice.
 *
 * <p>Thread safe. Invariants: a connection is used again only after a complete, self-delimited response with nothing
 * behind it, and not for a call that failed on it; cancelling a call's future closes its connection, so that the server
 * notices. All state is used on one event loop. There is no pool limit here: what runs at a server is bounded by
 * whoever calls.
 */
public final class HttpClient {

    /** Large response bodies buffered at once: a fifth of the heap of a node, at the largest size of a body. */
    static final int MAX_LARGE_BODIES = 32;

    private final HttpClientSettings settings;
    private final EventLoop loop;
    private final TimerService timers;
    private final Map<InetSocketAddress, Deque<HttpClientConnection>> idle = new HashMap<>();
    private final SetMultimap<InetSocketAddress, HttpClientConnection> open = HashMultimap.create();
    private final LargeBodies largeBodies = new LargeBodies(MAX_LARGE_BODIES);
    private boolean sweeping;

    private HttpClient(HttpClientSettings settings, EventLoop loop, TimerService timers) {
        this.settings = settings;
        this.loop = loop;
        this.timers = timers;
    }

    public static HttpClient create(HttpClientSettings settings, EventLoops loops) {
        return new HttpClient(settings, loops.next(), LoopTimerService.on(loops));
    }

    /** Sends the call once; the future fails only with {@link HttpExchangeException}, or is cancelled by its holder. */
    public CompletableFuture<HttpReply> send(InetSocketAddress address, HttpCall call) {
        return send(address, call, () -> true);
    }

    private CompletableFuture<HttpReply> send(InetSocketAddress address, HttpCall call, BooleanSupplier sendable) {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        // Never run at once: a response's last byte must be looked behind before its connection is used again.
        loop.execute(() -> start(address, call, sendable, reply));
        return reply;
    }

    /** The same for a call that is given up after the limit: its future is cancelled, which closes its connection. */
    public CompletableFuture<HttpReply> send(InetSocketAddress address, HttpCall call, Duration limit) {
        return send(address, call, () -> true, limit);
    }

    /**
     * The same for a call that may become unwanted before it is sent.
     *
     * @param sendable asked on the event loop immediately before the call is written; if it returns false, the future
     *     fails with {@link Kind#NOT_SENT}
     */
    public CompletableFuture<HttpReply> send(
            InetSocketAddress address, HttpCall call, BooleanSupplier sendable, Duration limit) {
        CompletableFuture<HttpReply> reply = send(address, call, sendable);
        TimerService.Subscription end = timers.after(limit, () -> reply.cancel(false));
        reply.whenComplete((answer, failure) -> end.cancel());
        return reply;
    }

    /**
     * Completes with whether a connection to the address that was made before the moment is still open.
     *
     * @param nanos moment of {@link System#nanoTime()}
     */
    public CompletableFuture<Boolean> hasConnectionFromBefore(InetSocketAddress address, long nanos) {
        return CompletableFuture.supplyAsync(
                () -> open.get(address).stream().anyMatch(connection -> connection.openedAt() - nanos < 0), loop);
    }

    private void start(
            InetSocketAddress address, HttpCall call, BooleanSupplier sendable, CompletableFuture<HttpReply> reply) {
        if (reply.isDone() || isWithdrawn(sendable, reply)) {
            return;
        }
        HttpClientConnection kept = takeIdle(address, call);
        if (kept != null) {
            kept.exchange(call, reply);
            return;
        }
        HttpClientConnection fresh = new HttpClientConnection(this, address, settings.maxBodyBytes());
        ChannelFuture connecting = bootstrap(fresh).connect(address);
        reply.whenComplete((done, failure) -> {
            if (!connecting.isDone()) {
                connecting.cancel(false);
            }
        });
        connecting.addListener(ended -> {
            if (ended.isSuccess() && isWithdrawn(sendable, reply)) {
                fresh.close();
            } else if (ended.isSuccess()) {
                fresh.exchange(call, reply);
            } else {
                String cause =
                        ended.cause() == null ? "cancelled" : ended.cause().toString();
                reply.completeExceptionally(
                        new HttpExchangeException(Kind.NOT_SENT, "no connection to " + address + ": " + cause));
            }
        });
    }

    /** Ends the call if it may not be sent any more. */
    private static boolean isWithdrawn(BooleanSupplier sendable, CompletableFuture<HttpReply> reply) {
        boolean withdrawn = !sendable.getAsBoolean();
        if (withdrawn) {
            reply.completeExceptionally(
                    new HttpExchangeException(Kind.NOT_SENT, "the call was withdrawn before it was sent"));
        }
        return withdrawn;
    }

    private Bootstrap bootstrap(HttpClientConnection connection) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.connectTimeout().toMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection.newDecoder())
                                .addLast(connection);
                    }
                });
    }

    /** Takes the connection that was used last and may carry the call; null if there is none. */
    private HttpClientConnection takeIdle(InetSocketAddress address, HttpCall call) {
        Deque<HttpClientConnection> kept = idle.get(address);
        if (kept == null) {
            return null;
        }
        Duration limit = call.freshConnection() ? settings.maxIdleFresh() : settings.maxIdle();
        long oldest = System.nanoTime() - limit.toNanos();
        Iterator<HttpClientConnection> newestFirst = kept.descendingIterator();
        while (newestFirst.hasNext()) {
            HttpClientConnection connection = newestFirst.next();
            if (connection.idleSince() - oldest < 0) {
                return null;
            }
            if (connection.canSend(call)) {
                newestFirst.remove();
                return connection;
            }
        }
        return null;
    }

    LargeBodies largeBodies() {
        return largeBodies;
    }

    void opened(HttpClientConnection connection) {
        open.put(connection.address(), connection);
    }

    void closed(HttpClientConnection connection) {
        open.remove(connection.address(), connection);
    }

    /** The connection has ended an exchange and may be used again for a while. */
    void release(HttpClientConnection connection) {
        idle.computeIfAbsent(connection.address(), unused -> new ArrayDeque<>()).addLast(connection);
        sweepLater();
    }

    /**
     * One timer for all idle connections: one for each release woke the loop as often as requests did, which cost as
     * much processor time as their way (measured as epoll_wait calls a request by strace: 6 with, 2 without).
     */
    private void sweepLater() {
        if (!sweeping && !idle.isEmpty()) {
            sweeping = true;
            loop.schedule(this::sweep, settings.maxIdle().toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void sweep() {
        sweeping = false;
        long limit = System.nanoTime() - settings.maxIdle().toNanos();
        List<HttpClientConnection> old = idle.values().stream()
                .flatMap(Collection::stream)
                .filter(connection -> connection.idleSince() <= limit)
                .toList();
        old.forEach(connection -> {
            forget(connection);
            connection.close();
        });
        sweepLater();
    }

    /** Takes the connection out of those that wait for use; tells whether it was there. */
    boolean forget(HttpClientConnection connection) {
        Deque<HttpClientConnection> kept = idle.get(connection.address());
        boolean found = kept != null && kept.remove(connection);
        if (found && kept.isEmpty()) {
            idle.remove(connection.address());
        }
        return found;
    }
}
