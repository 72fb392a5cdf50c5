package io.beryldock.peer;

import java.util.random.RandomGenerator;

/**
 * Pauses between failed connects: doubling from the least to the longest, each drawn from its upper half.
 *
 * <p>The draw keeps many nodes from connecting to a returned one at the same instant. Not thread safe.
 */
final class ReconnectBackoff {

    private final long min;
    private final long max;
    private final RandomGenerator random;
    private long pause;
    private long until;
    private boolean pausing;

    ReconnectBackoff(PeerLimits limits, RandomGenerator random) {
        this.min = limits.backoffMin().toNanos();
        this.max = limits.backoffMax().toNanos();
        this.random = random;
    }

    /** A connect failed at {@code now}. */
    void failed(long now) {
        pause = pause == 0 ? min : Math.min(max, 2 * pause);
        until = now + pause / 2 + random.nextLong(pause / 2 + 1);
        pausing = true;
    }

    void succeeded() {
        pause = 0;
        pausing = false;
    }

    /** No connect is made now. */
    boolean blocks(long now) {
        pausing = pausing && until - now > 0;
        return pausing;
    }

    /** A connect failed and none succeeded since. */
    boolean failing() {
        return pause > 0;
    }
}
