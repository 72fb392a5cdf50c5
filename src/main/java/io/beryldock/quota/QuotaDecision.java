package io.beryldock.quota;

/**
 * Whether a request is within the quota of its organisation. Immutable.
 *
 * @param retryAfterMillis time after which tokens are expected, for a request that exceeds the quota
 */
public record QuotaDecision(boolean granted, long retryAfterMillis) {

    private static final QuotaDecision GRANTED = new QuotaDecision(true, 0);

    public static QuotaDecision admitted() {
        return GRANTED;
    }

    static QuotaDecision refused(long retryAfterMillis) {
        return new QuotaDecision(false, retryAfterMillis);
    }
}
