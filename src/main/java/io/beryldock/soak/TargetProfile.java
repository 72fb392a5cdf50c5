package io.beryldock.soak;

import java.time.Duration;

/** How the targets of a run behave, and how often callers send to each node. */
public enum TargetProfile {
    /**
     * Targets refuse at times, name rate limits and their leaving, and start again. A lost attempt also loses its part
     * of the request's retries; with four attempts, enough retries remain for one further attempt.
     */
    CHANGING(Duration.ofMillis(40), 4, 4),
    /**
     * Targets refuse nearly half of what arrives at all times, under a load that fills them. A request that may be sent
     * to one target only is sent to it again.
     */
    REFUSING(Duration.ofMillis(10), 1, 2);

    private final Duration callerPeriod;
    private final int minAttempts;
    private final int maxAttempts;

    TargetProfile(Duration callerPeriod, int minAttempts, int maxAttempts) {
        this.callerPeriod = callerPeriod;
        this.minAttempts = minAttempts;
        this.maxAttempts = maxAttempts;
    }

    /** Targets to which a request may be sent in the run with the seed. */
    public int attempts(long seed) {
        long seedOfBounds = seed / SoakBounds.KINDS;
        return minAttempts + (int) Math.floorMod(seedOfBounds, maxAttempts - minAttempts + 1L);
    }

    /** Time between two requests of the callers of one node. */
    Duration callerPeriod() {
        return callerPeriod;
    }
}
