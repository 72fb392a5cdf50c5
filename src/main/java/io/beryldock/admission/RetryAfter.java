package io.beryldock.admission;

import java.util.random.RandomGenerator;

/**
 * When refused callers may come back.
 *
 * <p>Spread evenly over a range: callers refused together would otherwise all come back together and overload the
 * target anew at that moment. Stateless but for the generator, thread safe when that is.
 */
final class RetryAfter {

    private static final int MIN_MILLIS = 500;
    private static final int SPREAD_MILLIS = 1_500;

    private RetryAfter() {}

    static long millis(RandomGenerator random) {
        return (long) MIN_MILLIS + random.nextInt(SPREAD_MILLIS);
    }
}
