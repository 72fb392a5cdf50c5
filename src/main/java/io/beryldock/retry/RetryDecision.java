package io.beryldock.retry;

/** Whether a call is tried again, and if not, why. */
public enum RetryDecision {
    RETRY_ELSEWHERE,
    /**
     * A target with free slots refused it: it is sent to the same target again, as its allowance of further targets is
     * spent.
     */
    RESEND,
    /** There is an answer. */
    STOP_ANSWERED,
    /** It may have run and may not run twice. */
    STOP_MAY_HAVE_RUN,
    /** Trying again can't help, or would add load where there is too much. */
    STOP_USELESS,
    /** Two targets were full: the service is. */
    STOP_SERVICE_FULL,
    STOP_NO_OTHER_TARGET,
    STOP_NO_TIME,
    /** It may have run, and was in flight when a target crashed. */
    STOP_SUSPECT,
    /** The root request's retries are spent, or held elsewhere in the tree. */
    STOP_ALLOWANCE_SPENT,
    /** The pair of services has had its share of retries. */
    STOP_BUDGET_SPENT;

    public boolean isRetry() {
        return this == RETRY_ELSEWHERE || this == RESEND;
    }
}
