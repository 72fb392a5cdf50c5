package io.beryldock.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Random waits before retries and for Retry-After, so that callers refused together don't come back together.
 *
 * <p>Full jitter: the wait before retry n is evenly spread between 0 and base * 2^(n-1), cut at the cap. Thread safe:
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

    /** Wait before the retry of that number, counted from 1. */
    public long delayNanos(int retry) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, retry - 1));
        long limit = Math.min(capNanos, baseNanos << doublings);
        return limit <= 0 ? 0 : nextLong(limit + 1);
    }

    /** A Retry-After evenly spread between {@code meanMillis} / 2 and 3/2 of it, so that its mean is kept. */
    public long retryAfterMillis(long meanMillis) {
        long mean = Math.max(1, meanMillis);
        return mean / 2 + nextLong(mean + 1);
    }

    private synchronized long nextLong(long bound) {
        return random.nextLong(bound);
    }
}
