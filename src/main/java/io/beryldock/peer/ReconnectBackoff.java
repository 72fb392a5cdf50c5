package io.beryldock.peer;

import java.util.random.RandomGenerator;

/**
 * Exponential back-off with jitter between failed connects.
 *
 * <p>The pause doubles with each failure from the minimum to the maximum. The actual pause is drawn at random between
 * half of that value and the whole, so that many nodes don't reconnect to a recovered node at the same instant.
 *
 * <p>Not thread safe.
 */
final class ReconnectBackoff {

    private final long min;
    private final long max;
    private final RandomGenerator random;
    private long pause;
    private long pauseEndsAt;
    private boolean pausing;

    ReconnectBackoff(PeerLimits limits, RandomGenerator random) {
        this.min = limits.backoffMin().toNanos();
        this.max = limits.backoffMax().toNanos();
        this.random = random;
    }

    /** Records a connect that failed at {@code now}, in nanoseconds of the ticker, and starts a pause. */
    void recordFailure(long now) {
        pause = pause == 0 ? min : Math.min(max, 2 * pause);
        pauseEndsAt = now + pause / 2 + random.nextLong(pause / 2 + 1);
        pausing = true;
    }

    void recordSuccess() {
        pause = 0;
        pausing = false;
    }

    /** Whether a pause is in progress at {@code now}, during which no connect may be made. */
    boolean blocks(long now) {
        pausing = pausing && pauseEndsAt - now > 0;
        return pausing;
    }

    /** Whether a connect has failed and none has succeeded since. */
    boolean failing() {
        return pause > 0;
    }
}
