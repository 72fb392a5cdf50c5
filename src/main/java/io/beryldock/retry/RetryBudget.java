package io.beryldock.retry;

import io.beryldock.time.Ticker;

/** Limits the retries sent to a service to a share of the first attempts. Thread safe. */
public interface RetryBudget {

    /** Records the first attempt of a call, also of one that a repeated run makes. */
    void onFirstTry();

    /**
     * Takes one retry from the budget; false when none is available to the rank.
     *
     * @param rank priority rank of the request, 0 is the most important
     */
    boolean tryRetry(int rank);

    /** Returns a retry to the budget that was taken but not made. */
    void refund();

    /** Records that the node of a target refused a repeat of the rank because it had no room for it. */
    default void onRefused(int rank) {}

    /** Creates a budget for repeats that are limited where they arrive: only such a refusal holds retries back. */
    static RetryBudget limitedOnArrival(Ticker ticker) {
        return new HoldingRetryBudget(ticker);
    }

    /** Number of retries that requests of the most important rank could make now. */
    int available();
}
