package io.beryldock.retry;

/** Limits the retries sent to a service to a share of the first attempts. Thread safe. */
public interface RetryBudget {

    /** Records a first attempt. */
    void onFirstTry();

    /** Records a call that is repeated because the run that makes it is itself a repetition. */
    void onRepeat();

    /**
     * Takes one retry from the budget; false when none is available to the rank.
     *
     * @param rank priority rank of the request, 0 is the most important
     */
    boolean tryRetry(int rank);

    /** Returns a retry to the budget that was taken but not made. */
    void refund();

    /** A budget that grants all retries, where another part limits them. */
    static RetryBudget unlimited() {
        return UnlimitedRetryBudget.INSTANCE;
    }

    /** Number of retries that requests of the most important rank could make now. */
    int available();
}
