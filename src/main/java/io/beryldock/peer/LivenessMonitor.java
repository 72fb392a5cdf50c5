package io.beryldock.peer;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Judges from progress whether a connection still works; the socket's own state is not trusted.
 *
 * <p>Guards against connections that went silent: something between the ends lost track of them, one direction is lost,
 * or the peer stopped reading. Such a socket stays writable and reports no error for minutes, while its requests hang.
 *
 * <p>Time is a clock of its own that each tick moves on by no more than two tick periods. A process that was paused
 * (stopped, or in a long collection) thus sees a short pause only, and doesn't abandon sound connections whose bytes
 * wait unread in its sockets.
 *
 * <p>A pure decision from events and the ticker's value; not thread safe, used on one event loop.
 */
final class LivenessMonitor {

    private final long maxStep;
    private final long pingAfter;
    private final long silenceLimit;
    private final long oneWayLimit;
    private final long probeTimeout;
    private long clock;
    private long lastTick;
    private boolean ticked;
    private long provenAt;
    private long readAt;
    private long wroteAt;
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

    /** The monitor's own time; a message is stamped with it when written. */
    long clock() {
        return clock;
    }

    /** Bytes came in. */
    void read() {
        readAt = clock;
    }

    /** Returns the number of a ping that is written now. */
    long newPing() {
        lastPingNumber++;
        lastPingAt = clock;
        pings.add(new Ping(lastPingNumber, clock));
        return lastPingNumber;
    }

    /** A ping waits for its pong. */
    boolean pinging() {
        return !pings.isEmpty();
    }

    /** A ping was answered; so were those before it. */
    void ponged(long number) {
        while (!pings.isEmpty() && pings.peek().number() <= number) {
            proven(pings.poll().at());
        }
    }

    /** Something that was written at {@code sentAt} has reached the peer. */
    void proven(long sentAt) {
        provenAt = Math.max(provenAt, sentAt);
    }

    /** Looks at a connection that this node made and pings. */
    Verdict tickMade(long now, Load load) {
        advance(now, load);
        if (!load.writing() && !load.awaiting()) {
            rest();
            return Verdict.WAIT;
        }
        if (clock - wroteAt >= silenceLimit) {
            return Verdict.NOT_READING;
        }
        return load.awaiting() ? judgeAwaiting(load.probing()) : Verdict.WAIT;
    }

    /**
     * Looks at an accepted connection: its maker pings as long as it awaits a reply, also while earlier pongs are still
     * out, so silence is loss.
     *
     * @param reading false while this node doesn't read as the peer doesn't; silence then means nothing
     */
    Verdict tickAccepted(long now, Load load, boolean reading) {
        advance(now, load);
        if (!load.awaiting() || !reading) {
            readAt = clock;
        }
        if (clock - wroteAt >= silenceLimit) {
            return Verdict.NOT_READING;
        }
        return clock - readAt >= silenceLimit ? Verdict.SILENT : Verdict.WAIT;
    }

    private void advance(long now, Load load) {
        clock += ticked ? Math.min(Math.max(0, now - lastTick), maxStep) : 0;
        ticked = true;
        lastTick = now;
        if (!load.writing() || load.wroteSome()) {
            wroteAt = clock;
        }
    }

    private void rest() {
        provenAt = clock;
        readAt = clock;
    }

    private Verdict judgeAwaiting(boolean probing) {
        long unproven = clock - provenAt;
        if (probing && pinging() && clock - pings.peek().at() >= probeTimeout) {
            return Verdict.SILENT;
        }
        if (unproven >= silenceLimit && clock - readAt >= silenceLimit) {
            return Verdict.SILENT;
        }
        if (unproven >= oneWayLimit) {
            return Verdict.ONE_WAY;
        }
        return clock - Math.max(provenAt, lastPingAt) >= pingAfter ? Verdict.PING : Verdict.WAIT;
    }

    /**
     * What a connection has to do at a tick.
     *
     * @param awaiting replies or a pong are awaited; on the accepting side, the peer awaits a reply
     * @param probing nothing but the pong to a ping before use is awaited
     * @param writing bytes wait for the socket to take them
     * @param wroteSome the socket took some of them since the last tick
     */
    record Load(boolean awaiting, boolean probing, boolean writing, boolean wroteSome) {}

    /** A ping that was not answered yet. */
    private record Ping(long number, long at) {}

    /** What to do with the connection. */
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
