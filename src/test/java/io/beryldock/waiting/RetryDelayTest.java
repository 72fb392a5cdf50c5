package io.beryldock.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class RetryDelayTest {

    /**
     * Guards against telling callers to retry before capacity is expected, or when no answer can reach them in time.
     */
    @Property(tries = 1000)
    void delayEndsWhenCapacityIsExpectedAndAnAnswerIsUseful(
            @ForAll long seed,
            @ForAll @LongRange(max = 20_000) long expected,
            @ForAll @LongRange(min = 2, max = 8_000) long usable) {
        long delay = millis(expected, usable, new Random(seed));
        assertThat(delay).isBetween(Math.min(expected, usable / 2), usable);
    }

    /** Guards against a delay derived from the remaining time of a caller that has none left. */
    @Property(tries = 1000)
    void callerWithoutTimeLeftIsToldWhenToSendANewRequest(
            @ForAll long seed, @ForAll @LongRange(max = 20_000) long expected) {
        assertThat(millis(expected, -100, new Random(seed))).isBetween(expected, 100 + expected * 5 / 4);
    }

    /** Guards against callers that are refused together and retry together. */
    @Example
    void delaysAreSpread() {
        Random random = new Random(1);
        Set<Long> delays = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            delays.add(millis(400, 5_000, random));
        }
        assertThat(delays).hasSizeGreaterThan(50);
    }

    private static long millis(long expected, long usable, Random random) {
        return RetryDelay.millis(
                Duration.ofMillis(expected).toNanos(), Duration.ofMillis(usable).toNanos(), random);
    }
}
