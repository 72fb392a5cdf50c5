package io.beryldock.quota;

import io.beryldock.organisation.Quota;

/**
 * What operators tolerate beyond a quota, and what follows for the tokens that nodes hand out. Immutable.
 *
 * <p>In any window at most {@code (rate x window + burst) x (1 + overage) + slack} requests of an organisation may run.
 * Beside {@code rate x window} that leaves some room. One half of it is for tokens that a bucket has saved up, the other
 * for tokens that nodes hold and may use later than they were given out.
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

    /** Requests that may run in a window beside those of the rate. */
    private double room(Quota quota) {
        double rated = quota.ratePerSecond() * windowSeconds;
        return (rated + quota.burst()) * (1 + overage) + slack - rated;
    }

    private double lifeSeconds(Quota quota) {
        return Math.min(LONGEST_LIFE_SECONDS, room(quota) / 2 / (KEPT_ON * quota.ratePerSecond()));
    }

    /** How long a node may use a token after it asked for it. */
    long lifeNanos(Quota quota) {
        return (long) (lifeSeconds(quota) * NANOS_PER_SECOND);
    }

    /** Tokens a second of one data centre. */
    double partRate(Quota quota) {
        return quota.ratePerSecond() / dataCentres;
    }

    /** Tokens that one data centre can save up. */
    double partCapacity(Quota quota) {
        double held = KEPT_ON * quota.ratePerSecond() * lifeSeconds(quota);
        return Math.max(1, (room(quota) - held) / dataCentres);
    }
}
