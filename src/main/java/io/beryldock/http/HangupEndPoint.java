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
 * A caller's connection that is also read while a request is being processed, to detect that the caller closes it.
 *
 * <p>Invariants: at most one read interest is registered with the selector, either that of the monitor callback or that
 * of the HTTP connection; bytes that were read ahead (a pipelined request) are passed to the HTTP connection before all
 * later bytes, in order. Thread safe.
 */
public final class HangupEndPoint extends SocketChannelEndPoint {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 1;
    private static final int READ_AHEAD_BYTES = 4096;

    private final Executor executor;
    private final Callback monitorCallback = Callback.from(this::onReadable, this::onReadFailure);

    @GuardedBy("this")
    private Runnable hangupTask;

    @GuardedBy("this")
    private boolean monitorRegistered;

    @GuardedBy("this")
    private Callback pendingCallback;

    @GuardedBy("this")
    private ByteBuffer readAheadBuffer = BufferUtil.EMPTY_BUFFER;

    @GuardedBy("this")
    private boolean inputClosed;

    public HangupEndPoint(
            SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler, Executor executor) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
    }

    /** Starts to watch the connection; runs the task if the caller closes it before {@link #unwatch()}. */
    public void watch(Runnable task) {
        synchronized (this) {
            hangupTask = task;
            if (monitorRegistered || inputClosed) {
                return;
            }
            monitorRegistered = super.tryFillInterested(monitorCallback);
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
            if (monitorRegistered) {
                if (pendingCallback != null) {
                    return false;
                }
                pendingCallback = callback;
                return true;
            }
            if (!inputClosed && readAheadBuffer.remaining() == 0) {
                return super.tryFillInterested(callback);
            }
        }
        executor.execute(callback::succeeded);
        return true;
    }

    @Override
    public synchronized boolean isFillInterested() {
        return monitorRegistered ? pendingCallback != null : super.isFillInterested();
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (this) {
            if (readAheadBuffer.remaining() > 0) {
                return BufferUtil.append(buffer, readAheadBuffer);
            }
            if (inputClosed) {
                return -1;
            }
        }
        return super.fill(buffer);
    }

    /**
     * Logs a warning if the node closes the connection before it has answered a request. The caller sees only the end
     * of the stream and not its cause.
     */
    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        boolean unanswered;
        int unread;
        synchronized (this) {
            unread = readAheadBuffer.remaining();
            unanswered = !inputClosed && (hangupTask != null || unread > 0);
        }
        if (unanswered) {
            log.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).withCause(cause).log(
                    "closed connection of %s before its request was answered; unread bytes: %s",
                    getRemoteSocketAddress(), unread);
        }
    }

    private void onReadable() {
        Callback next;
        Runnable hangup = null;
        synchronized (this) {
            monitorRegistered = false;
            next = pendingCallback;
            pendingCallback = null;
            if (next == null) {
                hangup = readAhead();
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
    private Runnable readAhead() {
        ByteBuffer buffer = BufferUtil.allocate(READ_AHEAD_BYTES);
        int count;
        try {
            count = super.fill(buffer);
        } catch (IOException e) {
            log.atFine().withCause(e).log("reading from connection of %s failed", getRemoteSocketAddress());
            count = -1;
        }
        if (count > 0) {
            readAheadBuffer = buffer;
            return null;
        }
        if (count == 0) {
            monitorRegistered = super.tryFillInterested(monitorCallback);
            return null;
        }
        inputClosed = true;
        return takeHangupTask();
    }

    private void onReadFailure(Throwable failure) {
        Callback next;
        Runnable hangup = null;
        synchronized (this) {
            monitorRegistered = false;
            next = pendingCallback;
            pendingCallback = null;
            if (next == null && !(failure instanceof TimeoutException)) {
                hangup = takeHangupTask();
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
    private Runnable takeHangupTask() {
        Runnable task = hangupTask;
        hangupTask = null;
        return task;
    }
}
