package io.beryldock.waiting;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * When a refused caller should come back: when room is expected for it.
 *
 * <p>Spread, since callers refused together would else return together; never later than an answer is of use to it, but
 * for callers whose time is over, for whom it tells when a new request is welcome. Stateless but for the generator.
 */
final class ReturnTime {

    /** Shorter than a credit round a return finds what the refusal found. */
    private static final long MIN_SPREAD_NANOS = Duration.ofMillis(100).toNanos();

    /** What is expected far ahead is known less well. */
    private static final double SPREAD_SHARE = 0.25;

    /** The earliest part of its time at which a caller is told to return when room is expected too late for it. */
    private static final double LATE_SHARE = 0.75;

    /** Beyond it nothing can be expected. */
    private static final long MAX_EXPECTED_NANOS = Duration.ofSeconds(30).toNanos();

    private ReturnTime() {}

    /**
     * @param expectedNanos until there is room
     * @param usableNanos until it is too late to start for this caller
     */
    static long millis(long expectedNanos, long usableNanos, RandomGenerator random) {
        long expected = Math.max(0, Math.min(expectedNanos, MAX_EXPECTED_NANOS));
        long spread = Math.max(MIN_SPREAD_NANOS, (long) (SPREAD_SHARE * expected));
        long latest = usableNanos > 0 ? Math.min(expected + spread, usableNanos) : expected + spread;
        long earliest = expected < latest ? expected : (long) (LATE_SHARE * latest);
        long drawn = earliest + (long) (random.nextDouble() * (latest - earliest));
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(drawn));
    }
}
