package io.beryldock.peer;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects connections that no longer work by their lack of progress, without relying on the state of the socket.
 *
 * <p>A connection can fail silently: a network device between the nodes drops its state, packets of one direction are
 * lost, or the peer stops reading. The socket of such a connection stays writable and reports no error for minutes
 * while its requests hang.
 *
 * <p>The monitor keeps its own clock, which each tick advances by at most two tick periods. A process that was paused
 * (stopped, or in a long garbage collection) therefore sees a short pause only and doesn't abandon healthy connections
 * whose received bytes are still unread in its sockets.
 *
 * <p>Decides from recorded events and the ticker's value alone. Not thread safe; confined to one event loop.
 */
final class LivenessMonitor {

    private final long maxStep;
    private final long pingAfter;
    private final long silenceLimit;
    private final long oneWayLimit;
    private final long probeTimeout;
    private long clock;
    private long lastTick;
    private boolean started;
    private long deliveredSentAt;
    private long lastReadAt;
    private long lastWriteProgressAt;
    private final Deque<Ping> pings = new ArrayDeque<>();
    private long lastPingNumber;
    private long lastPingAt;

    LivenessMonitor(PeerLiveness bounds) {
        this.maxStep = 2 * bounds.tick().toNanos();
        this.pingAfter = bounds.pingAfter().toNanos();
        this.silenceLimit = bounds.silenceLimit().toNanos();
        this.oneWayLimit = bounds.oneWayLimit().toNanos();
        this.probeTimeout = bounds.probeTimeout().toNanos();
    }

    /** Returns the monitor's own time, in nanoseconds, which is recorded with each written message. */
    long clock() {
        return clock;
    }

    /** Records that bytes were received. */
    void bytesRead() {
        lastReadAt = clock;
    }

    /** Records a ping that the caller writes now; returns its number. */
    long newPing() {
        lastPingNumber++;
        lastPingAt = clock;
        pings.add(new Ping(lastPingNumber, clock));
        return lastPingNumber;
    }

    /** Whether a ping has no pong yet. */
    boolean pinging() {
        return !pings.isEmpty();
    }

    /** Records a pong, which confirms the ping with this number and all earlier pings. */
    void pongReceived(long number) {
        while (!pings.isEmpty() && pings.peek().number() <= number) {
            deliveryConfirmed(pings.poll().at());
        }
    }

    /** Records that the peer received a message that was written at {@code sentAt} of {@link #clock()}. */
    void deliveryConfirmed(long sentAt) {
        deliveredSentAt = Math.max(deliveredSentAt, sentAt);
    }

    /** Checks an outbound connection, on which this node sends the pings. */
    Verdict tickOutbound(long now, Activity activity) {
        advance(now, activity);
        if (!activity.writing() && !activity.awaiting()) {
            resetProgress();
            return Verdict.WAIT;
        }
        if (clock - lastWriteProgressAt >= silenceLimit) {
            return Verdict.NOT_READING;
        }
        return activity.awaiting() ? evaluateAwaiting(activity.probing()) : Verdict.WAIT;
    }

    /**
     * Checks an inbound connection.
     *
     * <p>The peer sends pings as long as it awaits a reply, even while earlier pings have no pong yet. Silence
     * therefore means that the connection is lost.
     *
     * @param reading false while this node has stopped reading because the peer doesn't read its replies; silence is no
     *     sign of loss then
     */
    Verdict tickInbound(long now, Activity activity, boolean reading) {
        advance(now, activity);
        if (!activity.awaiting() || !reading) {
            lastReadAt = clock;
        }
        if (clock - lastWriteProgressAt >= silenceLimit) {
            return Verdict.NOT_READING;
        }
        return clock - lastReadAt >= silenceLimit ? Verdict.SILENT : Verdict.WAIT;
    }

    private void advance(long now, Activity activity) {
        clock += started ? Math.min(Math.max(0, now - lastTick), maxStep) : 0;
        started = true;
        lastTick = now;
        if (!activity.writing() || activity.progressed()) {
            lastWriteProgressAt = clock;
        }
    }

    private void resetProgress() {
        deliveredSentAt = clock;
        lastReadAt = clock;
    }

    private Verdict evaluateAwaiting(boolean probing) {
        long unconfirmedFor = clock - deliveredSentAt;
        if (probing && pinging() && clock - pings.peek().at() >= probeTimeout) {
            return Verdict.SILENT;
        }
        if (unconfirmedFor >= silenceLimit && clock - lastReadAt >= silenceLimit) {
            return Verdict.SILENT;
        }
        if (unconfirmedFor >= oneWayLimit) {
            return Verdict.ONE_WAY;
        }
        return clock - Math.max(deliveredSentAt, lastPingAt) >= pingAfter ? Verdict.PING : Verdict.WAIT;
    }

    /**
     * The pending work of a connection at a tick.
     *
     * @param awaiting whether replies or a pong are awaited; on an inbound connection, whether the peer awaits a reply
     * @param probing whether only the pong to a probe, a ping before the connection is used again, is awaited
     * @param writing whether bytes are queued for the socket
     * @param progressed whether the socket accepted some of the queued bytes since the last tick
     */
    record Activity(boolean awaiting, boolean probing, boolean writing, boolean progressed) {}

    /** A ping without a pong; {@code at} is the monitor's time at which it was written. */
    private record Ping(long number, long at) {}

    /** The result of a check: what to do with the connection, and why. */
    enum Verdict {
        WAIT("works", false),
        PING("works", false),
        SILENT("nothing came from it in time", true),
        ONE_WAY("it sends but shows no sign of reading", true),
        NOT_READING("it doesn't read what is sent to it", true);

        private final String reason;
        private final boolean abandon;

        Verdict(String reason, boolean abandon) {
            this.reason = reason;
            this.abandon = abandon;
        }

        String reason() {
            return reason;
        }

        boolean abandon() {
            return abandon;
        }
    }
}
