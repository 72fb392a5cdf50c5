package io.beryldock.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.peer.LivenessMonitor.Activity;
import io.beryldock.peer.LivenessMonitor.Verdict;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LivenessMonitorTest {

    private static final PeerLiveness BOUNDS = PeerLiveness.defaults();
    private static final long TICK = BOUNDS.tick().toNanos();
    private static final long SILENCE = BOUNDS.silenceLimit().toNanos();
    private static final long LONGEST_PONG_DELAY = SILENCE - BOUNDS.pingAfter().toNanos() - 2 * TICK;
    private static final Activity AWAITING = new Activity(true, false, false, false);
    private static final Activity IDLE = new Activity(false, false, false, false);

    /**
     * Guards against a node that abandons all its connections at once, which leaves their calls with unknown outcomes.
     * A VM that was stopped for an hour resumes: its clock has jumped and the bytes from its peers are still unread in
     * its sockets.
     */
    @Test
    void aPausedProcessDoesNotAbandonItsConnections() {
        LivenessMonitor monitor = new LivenessMonitor(BOUNDS);
        monitor.tickOutbound(0, AWAITING);
        long resumed = Duration.ofHours(1).toNanos();
        assertThat(monitor.tickOutbound(resumed, AWAITING).abandon()).isFalse();
        assertThat(monitor.tickOutbound(resumed + TICK, AWAITING).abandon()).isFalse();
        monitor.bytesRead();
        assertThat(monitor.tickInbound(resumed + 2 * TICK, AWAITING, true)).isEqualTo(Verdict.WAIT);
    }

    @Test
    void anIdleConnectionIsNeverPinged() {
        LivenessMonitor monitor = new LivenessMonitor(BOUNDS);
        for (long now = 0; now < 100 * SILENCE; now += TICK) {
            assertThat(monitor.tickOutbound(now, IDLE)).isEqualTo(Verdict.WAIT);
        }
    }

    /**
     * Guards against healthy connections that are abandoned on a busy machine. A pong takes most of a second, which the
     * pinging node tolerates. If it sent no further pings during that time, the accepting node would take the silence
     * for loss.
     */
    @Test
    void pingsContinueWhileAPongIsOutstanding() {
        LivenessMonitor monitor = new LivenessMonitor(BOUNDS);
        List<Long> pingedAt = new ArrayList<>();
        for (long now = 0; now < SILENCE; now += TICK) {
            if (monitor.tickOutbound(now, AWAITING) == Verdict.PING) {
                monitor.newPing();
                pingedAt.add(now / TICK);
            }
        }
        assertThat(pingedAt).containsExactly(6L, 12L, 18L);
    }

    /** A large reply arrives over a slow link: the pong is queued behind it, but the received bytes are progress. */
    @Test
    void receivedBytesKeepAConnectionWithoutPongsUntilTheOneWayLimit() {
        LivenessMonitor monitor = new LivenessMonitor(BOUNDS);
        long now = 0;
        Verdict verdict = monitor.tickOutbound(now, AWAITING);
        while (!verdict.abandon()) {
            if (verdict == Verdict.PING) {
                monitor.newPing();
            }
            monitor.bytesRead();
            now += TICK;
            verdict = monitor.tickOutbound(now, AWAITING);
        }
        assertThat(verdict).isEqualTo(Verdict.ONE_WAY);
        assertThat(now).isEqualTo(BOUNDS.oneWayLimit().toNanos());
    }

    /**
     * A healthy connection is kept for any pong delay below the limit; a silent connection is abandoned within the
     * silence limit.
     */
    @Property(tries = 300)
    void healthyConnectionsAreKeptAndSilentOnesAreAbandonedWithinTheLimit(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 400) int healthyTicks) {
        Random random = new Random(seed);
        LivenessMonitor outbound = new LivenessMonitor(BOUNDS);
        LivenessMonitor inbound = new LivenessMonitor(BOUNDS);
        long now = 0;
        PriorityQueue<Long> pongs = new PriorityQueue<>();
        long lastPong = 0;
        for (int i = 0; i < healthyTicks; i++) {
            while (!pongs.isEmpty() && pongs.peek() <= now) {
                pongs.poll();
                lastPong++;
                outbound.bytesRead();
                outbound.pongReceived(lastPong);
            }
            Verdict verdict = outbound.tickOutbound(now, AWAITING);
            assertThat(verdict.abandon()).isFalse();
            if (verdict == Verdict.PING) {
                outbound.newPing();
                inbound.bytesRead();
                pongs.add(now + random.nextLong(LONGEST_PONG_DELAY));
            }
            assertThat(inbound.tickInbound(now, AWAITING, true)).isEqualTo(Verdict.WAIT);
            now += random.nextLong(TICK / 2, TICK + 1);
        }
        long silentSince = now;
        while (!outbound.tickOutbound(now, AWAITING).abandon()) {
            now += TICK;
        }
        assertThat(now - silentSince).isLessThanOrEqualTo(SILENCE + 2 * TICK);
    }
}
