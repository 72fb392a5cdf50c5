package io.beryldock.platform;

import java.time.Duration;

/**
 * What a soak target names in its answers at a given time: in turn nothing, a rate limit, its leaving, and then the
 * next start begins.
 *
 * <p>Immutable. The targets of a run go through the same cycle at different times.
 *
 * @param start number of the target's current start
 * @param ratePerSecond requests per second that the target accepts, 0 for no limit
 * @param leaving whether the target says that it is leaving
 */
record SoakConditions(long start, double ratePerSecond, boolean leaving) {

    /** Of a target that names nothing. */
    static final SoakConditions NONE = new SoakConditions(0, 0, false);

    /** Well below the rate at which callers send to the service with one target. */
    private static final double RATE_PER_SECOND = 20;

    private static final long CYCLE_MILLIS = Duration.ofSeconds(16).toMillis();
    private static final long LIMIT_FROM_MILLIS = Duration.ofSeconds(3).toMillis();
    private static final long LIMIT_TO_MILLIS = Duration.ofSeconds(11).toMillis();
    private static final long LEAVING_FROM_MILLIS = Duration.ofSeconds(12).toMillis();
    private static final long SHIFT_MILLIS = Duration.ofSeconds(5).toMillis();

    static SoakConditions at(int node, Duration sinceStart) {
        long millis = sinceStart.toMillis() + node * SHIFT_MILLIS;
        long inCycle = millis % CYCLE_MILLIS;
        boolean limited = inCycle >= LIMIT_FROM_MILLIS && inCycle < LIMIT_TO_MILLIS;
        return new SoakConditions(millis / CYCLE_MILLIS, limited ? RATE_PER_SECOND : 0, inCycle >= LEAVING_FROM_MILLIS);
    }
}
