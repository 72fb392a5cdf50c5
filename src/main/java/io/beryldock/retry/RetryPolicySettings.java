package io.beryldock.retry;

/**
 * Which failed attempts are worth another one. Immutable.
 *
 * @param resends attempts, of any kind, after which a refusal by a target with free slots is still sent again; such a
 *     target may refuse a part of what comes, whatever its number, so that asking again helps
 * @param failedLeaves whether a failure that a target answers is tried elsewhere, for idempotent calls that called
 *     nothing: without it the whole tree above is lost with one of its many calls
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
