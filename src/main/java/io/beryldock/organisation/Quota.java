package io.beryldock.organisation;

/**
 * Number of requests that an organisation may send, over all nodes together. Immutable.
 *
 * @param ratePerSecond sustained requests per second; 0 means no limit
 * @param burst number of requests beyond the rate that may arrive at once
 */
public record Quota(double ratePerSecond, double burst) {

    private static final Quota NONE = new Quota(0, 0);

    public Quota {
        if (!(ratePerSecond >= 0) || !(burst >= 0)) {
            throw new IllegalArgumentException(
                    "quota rate and burst must be 0 or more: rate " + ratePerSecond + ", burst " + burst);
        }
    }

    /** Quota without a limit. */
    public static Quota unlimited() {
        return NONE;
    }

    public boolean isUnlimited() {
        return ratePerSecond == 0;
    }

    // Handwritten: the C1 compiler, which nodes use, does not inline the generated equals of records (invokedynamic).
    @Override
    public boolean equals(Object other) {
        return other instanceof Quota that
                && Double.compare(ratePerSecond, that.ratePerSecond) == 0
                && Double.compare(burst, that.burst) == 0;
    }

    @Override
    public int hashCode() {
        return 31 * Double.hashCode(ratePerSecond) + Double.hashCode(burst);
    }
}
