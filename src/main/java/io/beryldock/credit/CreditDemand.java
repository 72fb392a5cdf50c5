package io.beryldock.credit;

/**
 * Slot time of one service that the trees of one claimant ask for at an entry. Not thread safe.
 *
 * <p>Nobody tells when a request that waits has left. What is left of the demand is known by this: while trees that
 * come for their credits go without, some wait; when none does, nobody waits.
 */
final class CreditDemand {

    /** Time over which the rate of demand is smoothed: a burst is told within three rounds. */
    private static final double RATE_NANOS = 150e6;

    /** Time in which unmet demand fades to a third: about what a request waits. */
    private static final double UNMET_NANOS = 500e6;

    /** Growth of unmet demand a round while trees wait though all that was asked for came. */
    private static final double GROWTH = 2;

    private double asked;
    private double perNano;
    private double unmet;
    private boolean missed;
    private long steppedAt;

    CreditDemand(long now) {
        steppedAt = now;
    }

    void ask(double nanos) {
        asked += nanos;
    }

    /** A tree came for its credits and went without. */
    void miss(double nanos) {
        missed = true;
        unmet = Math.max(unmet, nanos);
    }

    void take(double nanos) {
        unmet = Math.max(0, unmet - nanos);
    }

    /**
     * What will be wanted within a time from now, with what waits.
     *
     * @param allGranted whether the last answer granted all that was asked for
     */
    double wanted(double roundNanos, boolean allGranted, long now) {
        step(roundNanos, allGranted, now);
        return perNano * roundNanos + unmet;
    }

    private void step(double roundNanos, boolean allGranted, long now) {
        double passed = Math.max(roundNanos, (double) (now - steppedAt));
        perNano += (1 - Math.exp(-passed / RATE_NANOS)) * (asked / passed - perNano);
        double left = missed ? unmet : 0;
        unmet = asked + left * (allGranted ? GROWTH : Math.exp(-passed / UNMET_NANOS));
        asked = 0;
        missed = false;
        steppedAt = now;
    }

    /** What was wanted when it was last told. */
    double lastWanted(double roundNanos) {
        return perNano * roundNanos + unmet + asked;
    }
}
