package io.beryldock.admission;

import java.util.random.RandomGenerator;

/**
 * When refused callers may come back.
 *
 * <p>Spread evenly over a range: callers refused together would otherwise all come back together and overload the
 * target anew at that moment. Stateless but for the generator, thread safe when that is.
 */
final class RetryAfter {

    /** Levels follow an overload within some tenths of a second; a caller that comes earlier meets the same level. */
    private static final int MIN_MILLIS = 200;

    /** With it callers are back in half a second on average, in time for most objectives of pages. */
    private static final int SPREAD_MILLIS = 600;

    private RetryAfter() {}

    static long millis(RandomGenerator random) {
        return (long) MIN_MILLIS + random.nextInt(SPREAD_MILLIS);
    }
}
