package io.beryldock.time;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Spreads what many nodes do at once. Stateless, thread safe when the generator is. */
public final class Jitter {

    private Jitter() {}

    /** Evenly between half of the delay and one and a half, so that its mean is kept; the delay is above 0. */
    public static Duration around(Duration delay, RandomGenerator random) {
        long nanos = delay.toNanos();
        return Duration.ofNanos(nanos / 2 + random.nextLong(nanos));
    }
}
