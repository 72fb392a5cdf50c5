package io.beryldock.time;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Randomises delays so that many nodes don't act at the same time. Stateless; thread safe if the generator is. */
public final class Jitter {

    private Jitter() {}

    /** A delay uniformly distributed between 0.5 and 1.5 times the given one, which must be above 0; keeps the mean. */
    public static Duration around(Duration delay, RandomGenerator random) {
        long nanos = delay.toNanos();
        return Duration.ofNanos(nanos / 2 + random.nextLong(nanos));
    }
}
