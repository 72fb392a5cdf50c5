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
}
