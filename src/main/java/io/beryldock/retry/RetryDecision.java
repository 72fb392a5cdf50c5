package io.beryldock.retry;

/** Whether a call is retried, and if not, the reason. */
public enum RetryDecision {
    RETRY_ELSEWHERE,
    /**
     * The call is sent to the same target again: that target refused it although it has free slots, and no retry at
     * another target is possible.
     */
    RESEND,
    /** The call was answered. */
    STOP_ANSWERED,
    /** The call may have run and is not idempotent. */
    STOP_MAY_HAVE_RUN,
    /** A retry can't succeed, or would add load to an overloaded system. */
    STOP_USELESS,
    /** Two targets refused the call as full, so the whole service is taken to be full. */
    STOP_SERVICE_FULL,
    STOP_NO_OTHER_TARGET,
    STOP_NO_TIME,
    /** The call may have run, and its request was in flight when a target crashed. */
    STOP_SUSPECT,
    /** The allowance of the root request is spent, or held by other calls of its tree. */
    STOP_ALLOWANCE_SPENT,
    /** The retry budget for the called service is spent. */
    STOP_BUDGET_SPENT;

    public boolean isRetry() {
        return this == RETRY_ELSEWHERE || this == RESEND;
    }
}
