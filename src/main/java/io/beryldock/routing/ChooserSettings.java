package io.beryldock.routing;

import java.time.Duration;

/**
 * Settings of a {@link TargetChooser}. Immutable.
 *
 * @param ramp time in which a new or returned target comes to its full share
 * @param firstEjection length of a target's first ejection; each further one lasts twice as long
 * @param maxEjection longest ejection
 * @param maxEjectedShare largest share of a service's targets that may be ejected for failed calls
 * @param consecutiveFailures failed calls in a row that eject a target
 * @param placement how targets are weighed against each other, and whether their reports of load are used
 * @param crossingPrice what a call's bytes between data centres are worth as waiting time, beside the round trip
 */
public record ChooserSettings(
        Duration ramp,
        Duration firstEjection,
        Duration maxEjection,
        double maxEjectedShare,
        int consecutiveFailures,
        Placement placement,
        Duration crossingPrice) {

    private static final ChooserSettings DEFAULTS = new ChooserSettings(
            Duration.ofSeconds(10),
            Duration.ofSeconds(1),
            Duration.ofSeconds(30),
            0.5,
            3,
            Placement.OWN_CALLS,
            Duration.ofMillis(10));

    public ChooserSettings {
        if (maxEjectedShare < 0 || maxEjectedShare > 1) {
            throw new IllegalArgumentException("the largest ejected share must be 0 to 1: " + maxEjectedShare);
        }
        if (consecutiveFailures < 1) {
            throw new IllegalArgumentException("consecutive failures must be at least 1: " + consecutiveFailures);
        }
        if (crossingPrice.isNegative()) {
            throw new IllegalArgumentException("the price of crossing must be at least 0: " + crossingPrice);
        }
    }

    public static ChooserSettings defaults() {
        return DEFAULTS;
    }

    /** The same with another placement. */
    public ChooserSettings withPlacement(Placement other, Duration price) {
        return new ChooserSettings(
                ramp, firstEjection, maxEjection, maxEjectedShare, consecutiveFailures, other, price);
    }
}
