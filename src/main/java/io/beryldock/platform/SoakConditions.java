package io.beryldock.platform;

import io.beryldock.soak.TargetProfile;
import java.time.Duration;

/**
 * What a soak target does at a given time: in turn it names nothing, a rate limit, its leaving, and then the next start
 * begins; besides, it refuses requests half of the time.
 *
 * <p>Immutable. The targets of a run go through the same cycle at different times, and refuse at the same time.
 *
 * @param start number of the target's current start
 * @param ratePerSecond requests per second that the target accepts, 0 for no limit
 * @param leaving whether the target says that it is leaving
 * @param refusedShare share of the arriving requests that the target refuses without running them
 */
record SoakConditions(long start, double ratePerSecond, boolean leaving, double refusedShare) {

    /** Of a target that names nothing. */
    static final SoakConditions NONE = new SoakConditions(0, 0, false, 0);

    /** Well below the rate at which callers send to the service with one target. */
    private static final double RATE_PER_SECOND = 20;

    /** Above a half, so that repeats of one call are refused again. */
    private static final double REFUSED_SHARE = 0.6;

    /** Leaves callers a good chance of an answer within their retries. */
    private static final double ALWAYS_REFUSED_SHARE = 0.45;

    /** All targets refuse at the same time, so that each restart of nodes meets refusals within a few seconds. */
    private static final long REFUSAL_CYCLE_MILLIS = Duration.ofSeconds(9).toMillis();

    private static final long REFUSING_MILLIS = Duration.ofMillis(4_500).toMillis();
    private static final long CYCLE_MILLIS = Duration.ofSeconds(16).toMillis();
    private static final long LIMIT_FROM_MILLIS = Duration.ofSeconds(3).toMillis();
    private static final long LIMIT_TO_MILLIS = Duration.ofSeconds(11).toMillis();
    private static final long LEAVING_FROM_MILLIS = Duration.ofSeconds(12).toMillis();
    private static final long SHIFT_MILLIS = Duration.ofSeconds(5).toMillis();

    static SoakConditions at(TargetProfile profile, int node, Duration sinceStart) {
        return profile == TargetProfile.REFUSING
                ? new SoakConditions(0, 0, false, ALWAYS_REFUSED_SHARE)
                : changing(node, sinceStart);
    }

    private static SoakConditions changing(int node, Duration sinceStart) {
        long millis = sinceStart.toMillis() + node * SHIFT_MILLIS;
        long inCycle = millis % CYCLE_MILLIS;
        boolean limited = inCycle >= LIMIT_FROM_MILLIS && inCycle < LIMIT_TO_MILLIS;
        return new SoakConditions(
                millis / CYCLE_MILLIS,
                limited ? RATE_PER_SECOND : 0,
                inCycle >= LEAVING_FROM_MILLIS,
                sinceStart.toMillis() % REFUSAL_CYCLE_MILLIS < REFUSING_MILLIS ? REFUSED_SHARE : 0);
    }
}
