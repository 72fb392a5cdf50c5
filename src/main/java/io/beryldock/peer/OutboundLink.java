package io.beryldock.peer;

import io.beryldock.peer.PeerException.Kind;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The way to one address: one connection made on use, the messages that wait for it, and the pause after a failure.
 *
 * <p>Invariants: at most one connection takes new messages; a message waits only while a connection is being made or
 * probed; messages that wait are bounded in number and bytes; a retired link takes nothing and hands what still comes
 * to its successor. Messages may be given from any thread; the state is used on the link's event loop only.
 */
final class OutboundLink implements OutboundConnection.Owner {

    private final PeerHub hub;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final Retirement retirement;
    private final ReconnectBackoff backoff;
    private final Deque<OutboundMessage> waiting = new ArrayDeque<>();
    private final LoopTick tick = new LoopTick(this::tickOnLoop);
    private final List<OutboundConnection> finishing = new CopyOnWriteArrayList<>();
    private int waitingBytes;
    private boolean opened;
    private boolean retired;
    private boolean closed;
    private String lastFailure = "";
    private volatile Optional<OutboundConnection> current = Optional.empty();
    private volatile boolean inUse = true;
    private volatile long usedAt;

    OutboundLink(PeerHub hub, InetSocketAddress address, EventLoop loop, Retirement retirement) {
        this.hub = hub;
        this.address = address;
        this.loop = loop;
        this.retirement = retirement;
        this.backoff = new ReconnectBackoff(hub.limits(), hub.newRandom());
        this.usedAt = hub.now();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Sends the message, or fails its future. */
    void submit(OutboundMessage message) {
        if (!LoopTasks.run(loop, () -> submitOnLoop(message))) {
            message.fail(Kind.NOT_SENT, "the peer transport is closed");
        }
    }

    /** Looks after deadlines and the connection, if there is anything to look after. */
    void tick(long now) {
        if (inUse || now - usedAt >= hub.liveness().idleClose().toNanos()) {
            tick.post(loop);
        }
    }

    /** No message waits or is under way. */
    boolean idle() {
        return !inUse;
    }

    void close() {
        LoopTasks.run(loop, this::closeOnLoop);
    }

    /** The link's connections; thread safe. */
    List<ConnectionSnapshot> snapshots() {
        List<ConnectionSnapshot> result = new ArrayList<>();
        current.ifPresent(connection -> result.add(connection.snapshot()));
        finishing.forEach(connection -> result.add(connection.snapshot()));
        return result;
    }

    @Override
    public void opened(OutboundConnection connection) {
        if (opened) {
            hub.counters().reconnected();
        }
        opened = true;
        backoff.succeeded();
    }

    @Override
    public void ready(OutboundConnection connection) {
        Deque<OutboundMessage> messages = new ArrayDeque<>(waiting);
        clearWaiting();
        messages.forEach(this::submitOnLoop);
    }

    @Override
    public void finishing(OutboundConnection connection) {
        if (isCurrent(connection)) {
            current = Optional.empty();
            finishing.add(connection);
            connectIfAwaited();
        }
    }

    @Override
    public void closed(OutboundConnection connection, boolean hadOpened, String reason) {
        finishing.remove(connection);
        if (!isCurrent(connection)) {
            return;
        }
        current = Optional.empty();
        if (hadOpened) {
            connectIfAwaited();
            return;
        }
        lastFailure = reason;
        backoff.failed(hub.now());
        failWaiting(reason);
    }

    private void submitOnLoop(OutboundMessage message) {
        if (message.ended()) {
            return;
        }
        if (retired) {
            retirement.successor().accept(address, message);
            return;
        }
        message.takenBy(this);
        long now = hub.now();
        inUse = true;
        usedAt = now;
        if (closed) {
            message.fail(Kind.NOT_SENT, "the peer transport is closed");
        } else if (writable(message, now)) {
            current.get().write(message);
        } else {
            await(message, now);
        }
    }

    /** A request isn't written to a quiet connection before a ping; a one-way message may be lost. */
    private boolean writable(OutboundMessage message, long now) {
        return current.isPresent()
                && current.get().ready()
                && (message.oneWay() || !current.get().quiet(now));
    }

    private void await(OutboundMessage message, long now) {
        if (current.isEmpty() && backoff.blocks(now)) {
            message.fail(Kind.NOT_SENT, lastFailure + "; the next try to connect comes after a pause");
            return;
        }
        boolean full = waiting.size() >= hub.limits().maxWaitingMessages()
                || waitingBytes + message.bodyBytes() > hub.limits().maxBufferedBytes();
        if (full) {
            message.fail(Kind.NOT_SENT, "too many messages wait for the connection to " + address);
            return;
        }
        waiting.add(message);
        waitingBytes += message.bodyBytes();
        current.ifPresentOrElse(OutboundConnection::probe, this::connect);
    }

    private void connect() {
        OutboundConnection connection = OutboundConnection.create(hub, address, this);
        current = Optional.of(connection);
        connection.connect(loop);
    }

    private void connectIfAwaited() {
        if (!waiting.isEmpty() && !closed) {
            connect();
        }
    }

    /** Ends a message whose future was cancelled. */
    void cancel(OutboundMessage message) {
        LoopTasks.run(loop, () -> cancelOnLoop(message));
    }

    private void cancelOnLoop(OutboundMessage message) {
        if (message.connection() != null) {
            message.connection().cancel(message.id());
        } else {
            removeWaiting(message);
        }
    }

    private void tickOnLoop() {
        long now = hub.now();
        expireWaiting(now);
        finishing.forEach(connection -> connection.tick(now));
        current.ifPresent(connection -> connection.tick(now));
        inUse = !waiting.isEmpty()
                || !finishing.isEmpty()
                || current.filter(OutboundConnection::inUse).isPresent();
        if (!inUse && now - usedAt >= hub.liveness().idleClose().toNanos()) {
            closeIdle();
        }
    }

    private void closeIdle() {
        if (current.isPresent()) {
            current.get().close("the connection to " + address + " was not used");
            return;
        }
        retired = true;
        retirement.removal().accept(this);
    }

    private void expireWaiting(long now) {
        List<OutboundMessage> late =
                waiting.stream().filter(message -> message.overdue(now)).toList();
        late.forEach(this::removeWaiting);
        late.forEach(message -> message.fail(Kind.NOT_SENT, "no connection to " + address + " in time"));
    }

    private void removeWaiting(OutboundMessage message) {
        if (waiting.remove(message)) {
            waitingBytes -= message.bodyBytes();
        }
    }

    private void failWaiting(String reason) {
        List<OutboundMessage> failed = List.copyOf(waiting);
        clearWaiting();
        failed.forEach(message -> message.fail(Kind.NOT_SENT, reason));
    }

    private void clearWaiting() {
        waiting.clear();
        waitingBytes = 0;
    }

    private void closeOnLoop() {
        closed = true;
        failWaiting("the peer transport was closed");
        current.ifPresent(connection -> connection.close("the peer transport was closed"));
        finishing.forEach(connection -> connection.close("the peer transport was closed"));
    }

    private boolean isCurrent(OutboundConnection connection) {
        return current.filter(connection::equals).isPresent();
    }

    /**
     * What becomes of a link that has not been used for long, so that addresses of replaced VMs don't pile up.
     *
     * @param removal takes it off the transport's table
     * @param successor takes messages that were given to it too late
     */
    record Retirement(Consumer<OutboundLink> removal, BiConsumer<InetSocketAddress, OutboundMessage> successor) {}
}
