package io.beryldock.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.peer.LivenessMonitor.Load;
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
    private static final long LONGEST_PONG = SILENCE - BOUNDS.pingAfter().toNanos() - 2 * TICK;
    private static final Load AWAITING = new Load(true, false, false, false);
    private static final Load RESTING = new Load(false, false, false, false);

    /**
     * All connections of a node are cut at once and their calls have unknown outcomes. The VM was stopped for an hour;
     * when it goes on, its clock has jumped while the bytes of its peers wait unread in its sockets.
     */
    @Test
    void aPauseOfTheProcessIsNotTakenForSilence() {
        LivenessMonitor monitor = new LivenessMonitor(BOUNDS);
        monitor.tickMade(0, AWAITING);
        long resumed = Duration.ofHours(1).toNanos();
        assertThat(monitor.tickMade(resumed, AWAITING).abandon()).isFalse();
        assertThat(monitor.tickMade(resumed + TICK, AWAITING).abandon()).isFalse();
        monitor.read();
        assertThat(monitor.tickAccepted(resumed + 2 * TICK, AWAITING, true)).isEqualTo(Verdict.WAIT);
    }

    @Test
    void anIdleConnectionIsNeverPinged() {
        LivenessMonitor monitor = new LivenessMonitor(BOUNDS);
        for (long now = 0; now < 100 * SILENCE; now += TICK) {
            assertThat(monitor.tickMade(now, RESTING)).isEqualTo(Verdict.WAIT);
        }
    }

    /**
     * Sound connections are given up on a busy machine. A pong took most of a second, which the maker allows; had it
     * sent no ping meanwhile, the accepting end would have taken the quiet for loss.
     */
    @Test
    void pingsGoOnWhileAPongIsOut() {
        LivenessMonitor monitor = new LivenessMonitor(BOUNDS);
        List<Long> pingedAt = new ArrayList<>();
        for (long now = 0; now < SILENCE; now += TICK) {
            if (monitor.tickMade(now, AWAITING) == Verdict.PING) {
                monitor.newPing();
                pingedAt.add(now / TICK);
            }
        }
        assertThat(pingedAt).containsExactly(6L, 12L, 18L);
    }

    /** A slow link carries a large reply: the pong queues behind it, yet the arriving bytes are progress. */
    @Test
    void arrivingBytesHoldBackTheVerdictUpToTheOneWayLimit() {
        LivenessMonitor monitor = new LivenessMonitor(BOUNDS);
        long now = 0;
        Verdict verdict = monitor.tickMade(now, AWAITING);
        while (!verdict.abandon()) {
            if (verdict == Verdict.PING) {
                monitor.newPing();
            }
            monitor.read();
            now += TICK;
            verdict = monitor.tickMade(now, AWAITING);
        }
        assertThat(verdict).isEqualTo(Verdict.ONE_WAY);
        assertThat(now).isEqualTo(BOUNDS.oneWayLimit().toNanos());
    }

    /**
     * Whatever the pongs' delays below the limit, a sound connection stays; once it goes silent it ends in the bound.
     */
    @Property(tries = 300)
    void soundConnectionsStayAndSilentOnesEndInTheBound(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 400) int soundTicks) {
        Random random = new Random(seed);
        LivenessMonitor made = new LivenessMonitor(BOUNDS);
        LivenessMonitor accepted = new LivenessMonitor(BOUNDS);
        long now = 0;
        PriorityQueue<Long> pongs = new PriorityQueue<>();
        long answered = 0;
        for (int i = 0; i < soundTicks; i++) {
            while (!pongs.isEmpty() && pongs.peek() <= now) {
                pongs.poll();
                answered++;
                made.read();
                made.ponged(answered);
            }
            Verdict verdict = made.tickMade(now, AWAITING);
            assertThat(verdict.abandon()).isFalse();
            if (verdict == Verdict.PING) {
                made.newPing();
                accepted.read();
                pongs.add(now + random.nextLong(LONGEST_PONG));
            }
            assertThat(accepted.tickAccepted(now, AWAITING, true)).isEqualTo(Verdict.WAIT);
            now += random.nextLong(TICK / 2, TICK + 1);
        }
        long silentSince = now;
        while (!made.tickMade(now, AWAITING).abandon()) {
            now += TICK;
        }
        assertThat(now - silentSince).isLessThanOrEqualTo(SILENCE + 2 * TICK);
    }
}
