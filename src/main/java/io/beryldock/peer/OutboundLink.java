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
 * The outbound side of one address: the connection to it, the messages that wait for the connection, and the back-off
 * after a failed connect.
 *
 * <p>The connection is made when the first message is submitted. Invariants: at most one connection accepts new
 * messages; a message waits only while a connection is being made or probed; waiting messages are bounded in number and
 * bytes; a retired link accepts no messages and passes any that are still submitted to its successor.
 *
 * <p>{@link #submit}, {@link #cancel}, {@link #tick}, {@link #idle}, {@link #close} and {@link #snapshots} are thread
 * safe; all other state is confined to the link's event loop.
 */
final class OutboundLink implements OutboundConnection.Owner {

    private final PeerTransportContext context;
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
    private volatile long lastUsedAt;

    OutboundLink(PeerTransportContext context, InetSocketAddress address, EventLoop loop, Retirement retirement) {
        this.context = context;
        this.address = address;
        this.loop = loop;
        this.retirement = retirement;
        this.backoff = new ReconnectBackoff(context.limits(), context.newRandom());
        this.lastUsedAt = context.now();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Sends the message, or fails its future if it can't be sent. */
    void submit(OutboundMessage message) {
        if (!LoopTasks.run(loop, () -> submitOnLoop(message))) {
            message.fail(Kind.NOT_SENT, "the peer transport is closed");
        }
    }

    /** Checks deadlines and connections on the event loop if the link is in use or has been unused for too long. */
    void tick(long now) {
        if (inUse || now - lastUsedAt >= context.liveness().idleClose().toNanos()) {
            tick.post(loop);
        }
    }

    /** Whether no message waits or is in flight. */
    boolean idle() {
        return !inUse;
    }

    void close() {
        LoopTasks.run(loop, this::closeOnLoop);
    }

    /** Returns the states of the link's connections. Thread safe. */
    List<ConnectionSnapshot> snapshots() {
        List<ConnectionSnapshot> result = new ArrayList<>();
        current.ifPresent(connection -> result.add(connection.snapshot()));
        finishing.forEach(connection -> result.add(connection.snapshot()));
        return result;
    }

    @Override
    public void opened(OutboundConnection connection) {
        if (opened) {
            context.counters().reconnected();
        }
        opened = true;
        backoff.recordSuccess();
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
            connectIfMessagesWait();
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
            connectIfMessagesWait();
            return;
        }
        lastFailure = reason;
        backoff.recordFailure(context.now());
        failWaiting(reason);
    }

    private void submitOnLoop(OutboundMessage message) {
        if (message.completed()) {
            return;
        }
        if (retired) {
            retirement.successor().accept(address, message);
            return;
        }
        message.assignTo(this);
        long now = context.now();
        inUse = true;
        lastUsedAt = now;
        if (closed) {
            message.fail(Kind.NOT_SENT, "the peer transport is closed");
        } else if (writable(message, now)) {
            current.get().write(message);
        } else {
            enqueue(message, now);
        }
    }

    /**
     * Whether the message can be written now.
     *
     * <p>A request is not written to a connection that needs a probe first. A one-way message is, because it may be
     * lost.
     */
    private boolean writable(OutboundMessage message, long now) {
        return current.isPresent()
                && current.get().ready()
                && (message.oneWay() || !current.get().needsProbe(now));
    }

    private void enqueue(OutboundMessage message, long now) {
        if (current.isEmpty() && backoff.blocks(now)) {
            message.fail(Kind.NOT_SENT, lastFailure + "; the next try to connect comes after a pause");
            return;
        }
        boolean full = waiting.size() >= context.limits().maxWaitingMessages()
                || waitingBytes + message.bodyBytes() > context.limits().maxBufferedBytes();
        if (full) {
            message.fail(Kind.NOT_SENT, "too many messages wait for the connection to " + address);
            return;
        }
        waiting.add(message);
        waitingBytes += message.bodyBytes();
        current.ifPresentOrElse(OutboundConnection::probe, this::connect);
    }

    private void connect() {
        OutboundConnection connection = OutboundConnection.create(context, address, this);
        current = Optional.of(connection);
        connection.connect(loop);
    }

    private void connectIfMessagesWait() {
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
        long now = context.now();
        expireWaiting(now);
        finishing.forEach(connection -> connection.tick(now));
        current.ifPresent(connection -> connection.tick(now));
        inUse = !waiting.isEmpty()
                || !finishing.isEmpty()
                || current.filter(OutboundConnection::inUse).isPresent();
        if (!inUse && now - lastUsedAt >= context.liveness().idleClose().toNanos()) {
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
        List<OutboundMessage> overdue =
                waiting.stream().filter(message -> message.overdue(now)).toList();
        overdue.forEach(this::removeWaiting);
        overdue.forEach(message -> message.fail(Kind.NOT_SENT, "no connection to " + address + " in time"));
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
     * The callbacks that retire an unused link, so that links to the addresses of replaced VMs don't accumulate.
     *
     * @param removal removes the link from the transport's table
     * @param successor accepts messages that are submitted to the link after it was retired
     */
    record Retirement(Consumer<OutboundLink> removal, BiConsumer<InetSocketAddress, OutboundMessage> successor) {}
}
