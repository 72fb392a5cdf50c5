package io.beryldock.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Random delays before retries and for Retry-After, so that callers refused at the same time don't retry at the same
 * time.
 *
 * <p>Full jitter: the delay before retry n is uniform between 0 and base * 2^(n-1), limited to the cap. Thread safe:
 * one lock around the generator.
 */
public final class Backoff {

    private static final int MAX_DOUBLINGS = 30;

    private final RandomGenerator random;
    private final long baseNanos;
    private final long capNanos;

    private Backoff(RandomGenerator random, long baseNanos, long capNanos) {
        this.random = random;
        this.baseNanos = baseNanos;
        this.capNanos = capNanos;
    }

    public static Backoff create(RandomGenerator random, Duration base, Duration cap) {
        return new Backoff(random, base.toNanos(), cap.toNanos());
    }

    /** Random delay before a retry, where the first retry has number 1. */
    public long delayNanos(int retry) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, retry - 1));
        long limit = Math.min(capNanos, baseNanos << doublings);
        return limit <= 0 ? 0 : nextLong(limit + 1);
    }

    /**
     * Random Retry-After, uniform between 1/2 and 3/2 of {@code meanMillis}, so that its mean is {@code meanMillis}.
     */
    public long retryAfterMillis(long meanMillis) {
        long mean = Math.max(1, meanMillis);
        return mean / 2 + nextLong(mean + 1);
    }

    private synchronized long nextLong(long bound) {
        return random.nextLong(bound);
    }
}
