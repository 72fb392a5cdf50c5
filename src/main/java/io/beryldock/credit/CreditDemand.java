package io.beryldock.credit;

/**
 * Demand of the trees of one claimant for slot time of one service at an entry node. Not thread safe.
 *
 * <p>Requests that stop waiting are not reported. The remaining demand is inferred instead: as long as trees try to
 * take credits and fail, requests are waiting; when no tree fails, none is waiting.
 */
final class CreditDemand {

    /** Time constant of the smoothed demand rate; short enough to reflect a burst within three rounds. */
    private static final double RATE_NANOS = 150e6;

    /** Time in which unmet demand decays to 1/e; about the time that a request waits. */
    private static final double UNMET_NANOS = 500e6;

    /** Growth factor of unmet demand per round while trees wait although the last claim was granted in full. */
    private static final double GROWTH = 2;

    private double requested;
    private double ratePerNano;
    private double unmet;
    private boolean anyMissed;
    private long intervalStart;

    CreditDemand(long now) {
        intervalStart = now;
    }

    void request(double nanos) {
        requested += nanos;
    }

    /** Records a tree that could not get its credits. */
    void miss(double nanos) {
        anyMissed = true;
        unmet = Math.max(unmet, nanos);
    }

    void take(double nanos) {
        unmet = Math.max(0, unmet - nanos);
    }

    /**
     * Slot time wanted in the next round, including that of waiting trees. Starts a new measuring interval.
     *
     * @param allGranted whether the last answer granted all that was claimed
     */
    double wanted(double roundNanos, boolean allGranted, long now) {
        startInterval(roundNanos, allGranted, now);
        return ratePerNano * roundNanos + unmet;
    }

    private void startInterval(double roundNanos, boolean allGranted, long now) {
        double elapsed = Math.max(roundNanos, (double) (now - intervalStart));
        ratePerNano += (1 - Math.exp(-elapsed / RATE_NANOS)) * (requested / elapsed - ratePerNano);
        double remaining = anyMissed ? unmet : 0;
        unmet = requested + remaining * (allGranted ? GROWTH : Math.exp(-elapsed / UNMET_NANOS));
        requested = 0;
        anyMissed = false;
        intervalStart = now;
    }

    /** Current demand, without starting a new measuring interval. */
    double lastWanted(double roundNanos) {
        return ratePerNano * roundNanos + unmet + requested;
    }
}
