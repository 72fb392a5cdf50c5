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

class ReturnTimeTest {

    /** Guards against callers that are told to come back before there is room, or when no answer can reach them. */
    @Property(tries = 1000)
    void toldTimeIsWhenRoomIsExpectedAndOfUseToTheCaller(
            @ForAll long seed,
            @ForAll @LongRange(max = 20_000) long expected,
            @ForAll @LongRange(min = 2, max = 8_000) long usable) {
        long told = millis(expected, usable, new Random(seed));
        assertThat(told).isBetween(Math.min(expected, usable / 2), usable);
    }

    /** Guards against a time that speaks of no time left, as of a caller that gives no more. */
    @Property(tries = 1000)
    void whoHasNoTimeLeftIsToldWhenANewRequestIsWelcome(
            @ForAll long seed, @ForAll @LongRange(max = 20_000) long expected) {
        assertThat(millis(expected, -100, new Random(seed))).isBetween(expected, 100 + expected * 5 / 4);
    }

    /** Guards against callers refused together who come back together. */
    @Example
    void timesAreSpread() {
        Random random = new Random(1);
        Set<Long> told = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            told.add(millis(400, 5_000, random));
        }
        assertThat(told).hasSizeGreaterThan(50);
    }

    private static long millis(long expected, long usable, Random random) {
        return ReturnTime.millis(
                Duration.ofMillis(expected).toNanos(), Duration.ofMillis(usable).toNanos(), random);
    }
}
