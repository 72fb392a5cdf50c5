package io.beryldock.retry;

import java.time.Duration;

/**
 * Limits of a {@link RetryBudget}. Immutable.
 *
 * @param share retries allowed as a share of first attempts
 * @param floorPerSecond retries per second allowed in addition to the share, for pairs of services with little traffic
 * @param floorBurst limit on the number of unused floor retries that accumulate
 * @param window time constant with which the unused retries of the share decay
 */
public record RetryBudgetSettings(double share, double floorPerSecond, double floorBurst, Duration window) {

    private static final RetryBudgetSettings DEFAULTS = new RetryBudgetSettings(0.1, 0.2, 2, Duration.ofSeconds(10));

    public RetryBudgetSettings {
        if (share < 0 || share > 1) {
            throw new IllegalArgumentException("the retry share must be 0 to 1: " + share);
        }
        if (floorPerSecond < 0 || floorBurst < 0 || window.isNegative() || window.isZero()) {
            throw new IllegalArgumentException("floor and burst must not be negative, the window must be above 0");
        }
    }

    /** Retries up to a tenth of first attempts, plus one every five seconds. */
    public static RetryBudgetSettings defaults() {
        return DEFAULTS;
    }

    public RetryBudgetSettings withShare(double newShare) {
        return new RetryBudgetSettings(newShare, floorPerSecond, floorBurst, window);
    }
}
