package io.beryldock.http;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection that is read on while its request is under way, to notice its end.
 *
 * <p>Invariants: at most one interest in reading is registered with the selector, our relay or the connection's own
 * callback; bytes that were read early (a pipelined request) reach the connection first, in order. Thread safe.
 */
public final class HangupEndPoint extends SocketChannelEndPoint {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 1;
    private static final int EARLY_BYTES = 4096;

    private final Executor executor;
    private final Callback relay = Callback.from(this::onReadable, this::onReadFailure);

    @GuardedBy("this")
    private Runnable hangupTask;

    @GuardedBy("this")
    private boolean relayRegistered;

    @GuardedBy("this")
    private Callback waiting;

    @GuardedBy("this")
    private ByteBuffer early = BufferUtil.EMPTY_BUFFER;

    @GuardedBy("this")
    private boolean ended;

    public HangupEndPoint(
            SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler, Executor executor) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
    }

    /** Runs the task when the other end closes the connection before {@link #unwatch()}. */
    public void watch(Runnable task) {
        synchronized (this) {
            hangupTask = task;
            if (relayRegistered || ended) {
                return;
            }
            relayRegistered = super.tryFillInterested(relay);
        }
    }

    public synchronized void unwatch() {
        hangupTask = null;
    }

    @Override
    public void fillInterested(Callback callback) {
        if (!tryFillInterested(callback)) {
            throw new ReadPendingException();
        }
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        synchronized (this) {
            if (relayRegistered) {
                if (waiting != null) {
                    return false;
                }
                waiting = callback;
                return true;
            }
            if (!ended && early.remaining() == 0) {
                return super.tryFillInterested(callback);
            }
        }
        executor.execute(callback::succeeded);
        return true;
    }

    @Override
    public synchronized boolean isFillInterested() {
        return relayRegistered ? waiting != null : super.isFillInterested();
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (this) {
            if (early.remaining() > 0) {
                return BufferUtil.append(buffer, early);
            }
            if (ended) {
                return -1;
            }
        }
        return super.fill(buffer);
    }

    /** A caller who sent a request and reads the end of the connection can't tell why; the node can. */
    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        boolean unanswered;
        int unread;
        synchronized (this) {
            unread = early.remaining();
            unanswered = !ended && (hangupTask != null || unread > 0);
        }
        if (unanswered) {
            log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).withCause(cause).log(
                    "the node closed the connection of %s before it answered; unread bytes: %s",
                    getRemoteSocketAddress(), unread);
        }
    }

    private void onReadable() {
        Callback next;
        Runnable hangup = null;
        synchronized (this) {
            relayRegistered = false;
            next = waiting;
            waiting = null;
            if (next == null) {
                hangup = readEarly();
            }
        }
        if (next != null) {
            next.succeeded();
        }
        if (hangup != null) {
            hangup.run();
        }
    }

    @GuardedBy("this")
    private Runnable readEarly() {
        ByteBuffer buffer = BufferUtil.allocate(EARLY_BYTES);
        int count;
        try {
            count = super.fill(buffer);
        } catch (IOException e) {
            log.atFine().withCause(e).log("the connection of %s can't be read", getRemoteSocketAddress());
            count = -1;
        }
        if (count > 0) {
            early = buffer;
            return null;
        }
        if (count == 0) {
            relayRegistered = super.tryFillInterested(relay);
            return null;
        }
        ended = true;
        return takeTask();
    }

    private void onReadFailure(Throwable failure) {
        Callback next;
        Runnable hangup = null;
        synchronized (this) {
            relayRegistered = false;
            next = waiting;
            waiting = null;
            if (next == null && !(failure instanceof TimeoutException)) {
                hangup = takeTask();
            }
        }
        if (next != null) {
            next.failed(failure);
        }
        if (hangup != null) {
            hangup.run();
        }
    }

    @GuardedBy("this")
    private Runnable takeTask() {
        Runnable task = hangupTask;
        hangupTask = null;
        return task;
    }
}
