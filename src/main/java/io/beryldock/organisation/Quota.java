package io.beryldock.organisation;

/**
 * How many requests an organisation may make, over all nodes together. Immutable.
 *
 * @param ratePerSecond requests a second over any longer time; 0 stands for no limit
 * @param burst requests beyond the rate that may come at once
 */
public record Quota(double ratePerSecond, double burst) {

    private static final Quota NONE = new Quota(0, 0);

    public Quota {
        if (!(ratePerSecond >= 0) || !(burst >= 0)) {
            throw new IllegalArgumentException("a quota is 0 or more: " + ratePerSecond + ", burst " + burst);
        }
    }

    /** No limit. */
    public static Quota none() {
        return NONE;
    }

    public boolean isUnlimited() {
        return ratePerSecond == 0;
    }

    // Written out: nodes' C1 compiler does not inline the generated equals of a record, an invokedynamic call.
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
