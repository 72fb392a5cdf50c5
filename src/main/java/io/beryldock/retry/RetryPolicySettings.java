package io.beryldock.retry;

/**
 * Settings of a {@link RetryPolicy}. Immutable.
 *
 * @param resends number of attempts, of any kind, up to which a call that a target with free slots refused is still
 *     sent to that target again; such a target may refuse a share of all calls regardless of load, so that a resend can
 *     succeed
 * @param failedLeaves whether a server error of an idempotent call that made no inner calls is retried at another
 *     target; without it, one such failure among the many calls of a tree fails the whole tree
 */
public record RetryPolicySettings(int resends, boolean failedLeaves) {

    private static final RetryPolicySettings DEFAULTS = new RetryPolicySettings(0, false);

    public RetryPolicySettings {
        if (resends < 0) {
            throw new IllegalArgumentException("resends must be 0 or more: " + resends);
        }
    }

    public static RetryPolicySettings defaults() {
        return DEFAULTS;
    }
}
