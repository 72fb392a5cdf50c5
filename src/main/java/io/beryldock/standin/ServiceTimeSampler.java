package io.beryldock.standin;

import io.beryldock.standin.StandinTargetSettings.Distribution;
import io.beryldock.standin.StandinTargetSettings.ServiceTime;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Draws the times of requests' own work and the chance in a target's faults, all from one seed. Thread safe.
 */
final class ServiceTimeSampler {

    /** A cold target's first request takes this many times the usual time. */
    private static final double COLD_FACTOR = 5;

    private static final double NANOS_PER_MILLI = 1e6;

    private final ServiceTime time;
    private final long coldNanos;
    private final RandomGenerator random;

    private ServiceTimeSampler(ServiceTime time, long coldNanos, RandomGenerator random) {
        this.time = time;
        this.coldNanos = coldNanos;
        this.random = random;
    }

    static ServiceTimeSampler create(ServiceTime time, Duration cold, long seed) {
        return new ServiceTimeSampler(time, cold.toNanos(), new SplittableRandom(seed));
    }

    /** Time of the next request, for a target that became ready that long ago. */
    synchronized Duration next(long readyForNanos, double slowFactor) {
        double millis = time.distribution() == Distribution.FIXED
                ? time.millis()
                : -time.millis() * Math.log(1 - random.nextDouble());
        return Duration.ofNanos(Math.round(millis * NANOS_PER_MILLI * slowFactor * coldFactor(readyForNanos)));
    }

    private double coldFactor(long readyForNanos) {
        if (readyForNanos >= coldNanos) {
            return 1;
        }
        double left = 1 - Math.max(0, readyForNanos) / (double) coldNanos;
        return 1 + left * (COLD_FACTOR - 1);
    }

    /** True with this probability. */
    synchronized boolean chance(double share) {
        return share > 0 && random.nextDouble() < share;
    }
}
