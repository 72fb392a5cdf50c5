package io.beryldock.retry;

/** Limits the retries to a service to a share of the first tries. Thread safe. */
public interface RetryBudget {

    /** Notes a first try. */
    void onFirstTry();

    /** Notes a call that repeats one, since the run that makes it repeats an earlier run. */
    void onRepeat();

    /**
     * Takes one retry out of the budget; false when there is none for the rank.
     *
     * @param rank of the request, 0 is the most important
     */
    boolean tryRetry(int rank);

    /** Puts back a retry that was taken and then not made. */
    void putBack();

    /** Retries that the most important requests could make now. */
    int available();
}
