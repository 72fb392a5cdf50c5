package io.beryldock.quota;

import io.beryldock.organisation.Quota;

/**
 * What operators tolerate beyond a quota, and what follows for the tokens that nodes hand out. Immutable.
 *
 * <p>In any window at most {@code (rate x window + burst) x (1 + overage) + slack} requests of an organisation may run.
 * Tokens are made faster than the rate, by a part of the burst in each window, as an organisation may use its burst
 * in any window: made at the rate alone, a tenth more demand than the rate for 18 s was refused 7 in 100 requests
 * (one played day), all of them within the quota. What is left of the window's bound is shared between tokens that
 * nodes hold, and may use later than they were given out, and those that a bucket has saved up.
 *
 * @param windowSeconds length of the window
 * @param overage part of the quota that may be exceeded
 * @param slack requests beside it
 * @param dataCentres that the quota is divided between: one that is cut off goes on with its part, and nobody else can
 *     give that part out
 */
public record QuotaTerms(double windowSeconds, double overage, double slack, int dataCentres) {

    /** Tokens of an organisation that asks little are kept no longer; what is left of them is lost then. */
    private static final double LONGEST_LIFE_SECONDS = 1;

    /** A node keeps up to a quarter of a part when it takes the next one, which makes that quarter so much older. */
    private static final double KEPT_ON = 1.25;

    /** Part of the burst that comes in each window; the rest is saved up. */
    private static final double BURST_IN_EACH_WINDOW = 0.75;

    /** Part of what is beyond the made tokens that nodes may hold: a longer life costs fewer questions. */
    private static final double HELD = 2.0 / 3;

    private static final double NANOS_PER_SECOND = 1e9;

    public QuotaTerms {
        if (!(windowSeconds > 0) || !(overage >= 0) || !(slack >= 0) || dataCentres < 1) {
            throw new IllegalArgumentException("terms of quotas: window " + windowSeconds + " s, overage " + overage
                    + ", slack " + slack + ", data centres " + dataCentres);
        }
    }

    /** Terms where operators name none: a tenth more than the quota in a window of five seconds. */
    public static QuotaTerms usual() {
        return new QuotaTerms(5, 0.1, 20, 1);
    }

    /** Tokens a second of all data centres. */
    private double madePerSecond(Quota quota) {
        return quota.ratePerSecond() + BURST_IN_EACH_WINDOW * quota.burst() / windowSeconds;
    }

    /** Requests that may run in a window beside the tokens that are made in it. */
    private double room(Quota quota) {
        double bound = (quota.ratePerSecond() * windowSeconds + quota.burst()) * (1 + overage) + slack;
        return bound - madePerSecond(quota) * windowSeconds;
    }

    private double lifeSeconds(Quota quota) {
        return Math.min(LONGEST_LIFE_SECONDS, HELD * room(quota) / (KEPT_ON * madePerSecond(quota)));
    }

    /** How long a node may use a token after it asked for it. */
    long lifeNanos(Quota quota) {
        return (long) (lifeSeconds(quota) * NANOS_PER_SECOND);
    }

    /** Tokens a second of one data centre. */
    double partRate(Quota quota) {
        return madePerSecond(quota) / dataCentres;
    }

    /** Tokens that one data centre can save up. */
    double partCapacity(Quota quota) {
        double held = KEPT_ON * madePerSecond(quota) * lifeSeconds(quota);
        return Math.max(1, (room(quota) - held) / dataCentres);
    }
}
