package io.beryldock.waiting;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Computes the delay after which a refused caller should retry: when capacity is expected for it.
 *
 * <p>The delays are spread, since callers that are refused together would otherwise retry together. A delay never ends
 * later than an answer is useful to the caller; a caller whose time is over is told when a new request may be sent.
 * Stateless except for the generator.
 */
final class RetryDelay {

    /**
     * Minimum spread of the delays. Within less than a credit round, a retry would meet the same conditions as the
     * refusal.
     */
    private static final long MIN_SPREAD_NANOS = Duration.ofMillis(100).toNanos();

    /** Share of the expected delay by which it is spread, as estimates far ahead are less accurate. */
    private static final double SPREAD_SHARE = 0.25;

    /**
     * Share of the caller's usable time before which it is not told to retry when capacity is expected too late for it.
     */
    private static final double LATE_SHARE = 0.75;

    /** Longest delay for which an estimate is meaningful. */
    private static final long MAX_EXPECTED_NANOS = Duration.ofSeconds(30).toNanos();

    private RetryDelay() {}

    /**
     * Returns the delay in milliseconds, at least 1.
     *
     * @param expectedNanos time until capacity is expected
     * @param usableNanos time until it is too late for the caller's request to start; 0 or less when it is too late
     *     already
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
