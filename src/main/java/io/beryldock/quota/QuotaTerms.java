package io.beryldock.quota;

import io.beryldock.organisation.Quota;

/**
 * How far requests may exceed a quota, and the production and lifetime of tokens that follow from it. Immutable.
 *
 * <p>In any window at most {@code (rate x window + burst) x (1 + overage) + slack} requests of an organisation may run.
 * Tokens are produced faster than the rate, by a part of the burst in each window, because an organisation may use its
 * burst in any window: with production at the rate alone, demand of 10 % above the rate for 18 s had 7 of 100 requests
 * refused, all of them within the quota. The remainder of the window's bound is divided between tokens that nodes hold,
 * and may use later than they were granted, and tokens that buckets save up.
 *
 * @param windowSeconds length of the window
 * @param overage part of the quota by which it may be exceeded
 * @param slack number of requests by which it may be exceeded in addition
 * @param dataCentres number of data centres among which the quota is divided; one that is cut off continues with its
 *     part, which no other can grant
 */
public record QuotaTerms(double windowSeconds, double overage, double slack, int dataCentres) {

    /**
     * Upper bound of the lifetime of tokens. It applies to organisations with little demand; tokens that are left over
     * then expire.
     */
    private static final double MAX_LIFETIME_SECONDS = 1;

    /**
     * Factor for tokens that nodes carry over: a node keeps up to a quarter of a grant when it receives the next one,
     * which prolongs the use of that quarter.
     */
    private static final double CARRY_OVER_FACTOR = 1.25;

    /** Share of the burst that is produced in each window; the rest is saved up. */
    private static final double BURST_SHARE_PER_WINDOW = 0.75;

    /**
     * Share of the headroom that tokens held by nodes may take up. A longer lifetime of tokens needs fewer questions.
     */
    private static final double HELD_SHARE = 2.0 / 3;

    private static final double NANOS_PER_SECOND = 1e9;

    public QuotaTerms {
        if (!(windowSeconds > 0) || !(overage >= 0) || !(slack >= 0) || dataCentres < 1) {
            throw new IllegalArgumentException("invalid quota terms: window " + windowSeconds + " s, overage " + overage
                    + ", slack " + slack + ", data centres " + dataCentres);
        }
    }

    /** Terms that apply where operators configure none: 10 % above the quota in a window of five seconds. */
    public static QuotaTerms defaults() {
        return new QuotaTerms(5, 0.1, 20, 1);
    }

    /** Tokens per second of all data centres. */
    private double tokensPerSecond(Quota quota) {
        return quota.ratePerSecond() + BURST_SHARE_PER_WINDOW * quota.burst() / windowSeconds;
    }

    /** Number of requests that may run in a window in addition to the tokens that are produced in it. */
    private double headroom(Quota quota) {
        double bound = (quota.ratePerSecond() * windowSeconds + quota.burst()) * (1 + overage) + slack;
        return bound - tokensPerSecond(quota) * windowSeconds;
    }

    private double lifetimeSeconds(Quota quota) {
        return Math.min(
                MAX_LIFETIME_SECONDS, HELD_SHARE * headroom(quota) / (CARRY_OVER_FACTOR * tokensPerSecond(quota)));
    }

    /** Time for which a node may use a token after it asked for it. */
    long lifetimeNanos(Quota quota) {
        return (long) (lifetimeSeconds(quota) * NANOS_PER_SECOND);
    }

    /** Tokens per second of one data centre. */
    double ratePerDataCentre(Quota quota) {
        return tokensPerSecond(quota) / dataCentres;
    }

    /** Number of tokens that one data centre can save up. */
    double capacityPerDataCentre(Quota quota) {
        double held = CARRY_OVER_FACTOR * tokensPerSecond(quota) * lifetimeSeconds(quota);
        return Math.max(1, (headroom(quota) - held) / dataCentres);
    }
}
