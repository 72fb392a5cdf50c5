package io.beryldock.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ReconnectBackoffTest {

    private static final PeerLimits LIMITS = PeerLimits.defaults();

    @Property(tries = 200)
    void pausesDoubleUpToTheMaximumWithJitterAndEndWithASuccess(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 80) int failures) {
        ReconnectBackoff backoff = new ReconnectBackoff(LIMITS, new SplittableRandom(seed));
        long now = seed;
        long pause = LIMITS.backoffMin().toNanos();
        for (int i = 0; i < failures; i++) {
            backoff.recordFailure(now);
            assertThat(backoff.blocks(now + pause / 2 - 1)).isTrue();
            assertThat(backoff.blocks(now + pause)).isFalse();
            now += pause;
            pause = Math.min(2 * pause, LIMITS.backoffMax().toNanos());
        }
        backoff.recordFailure(now);
        backoff.recordSuccess();
        assertThat(backoff.blocks(now)).isFalse();
    }
}
