package io.beryldock.routing;

import java.time.Duration;

/**
 * Settings of a {@link TargetChooser}. Immutable.
 *
 * @param ramp time in which the share of a new or returned target grows to its full value
 * @param firstEjection length of a target's first ejection; each further one is twice as long
 * @param maxEjection upper limit on the length of an ejection
 * @param maxEjectedShare largest share of a service's targets that may be ejected for failed calls
 * @param consecutiveFailures consecutive failed calls that eject a target
 * @param placement how the cost of targets is compared, and whether their load reports are used
 * @param crossingPrice cost of a call's bytes between data centres, as waiting time in addition to the round trip
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
            throw new IllegalArgumentException("the crossing price must not be negative: " + crossingPrice);
        }
    }

    public static ChooserSettings defaults() {
        return DEFAULTS;
    }

    /** A copy with another placement and crossing price. */
    public ChooserSettings withPlacement(Placement other, Duration price) {
        return new ChooserSettings(
                ramp, firstEjection, maxEjection, maxEjectedShare, consecutiveFailures, other, price);
    }
}
