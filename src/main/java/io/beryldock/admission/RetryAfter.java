package io.beryldock.admission;

import java.util.random.RandomGenerator;

/**
 * Computes the delay after which refused callers may retry.
 *
 * <p>The delays are spread evenly over a range: callers that are refused together would otherwise all return together
 * and overload the target again. Stateless except for the generator; thread safe when the generator is.
 */
final class RetryAfter {

    /** Levels follow an overload within some tenths of a second; a caller that retries earlier meets the same level. */
    private static final int MIN_MILLIS = 200;

    /** With this range callers retry after half a second on average, in time for most page load objectives. */
    private static final int SPREAD_MILLIS = 600;

    private RetryAfter() {}

    static long millis(RandomGenerator random) {
        return (long) MIN_MILLIS + random.nextInt(SPREAD_MILLIS);
    }
}
