package io.beryldock.retry;

import java.time.Duration;

/**
 * Limits of a {@link RetryBudget}. Immutable.
 *
 * @param share retries allowed as a share of first tries
 * @param floorPerSecond retries a second allowed beside the share, for pairs with little traffic
 * @param floorBurst how many retries of the floor may be saved up
 * @param window how long first tries count; a budget not used fades with this time constant
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

    /** A tenth of first tries, and one retry in five seconds. */
    public static RetryBudgetSettings defaults() {
        return DEFAULTS;
    }

    public RetryBudgetSettings withShare(double other) {
        return new RetryBudgetSettings(other, floorPerSecond, floorBurst, window);
    }
}
