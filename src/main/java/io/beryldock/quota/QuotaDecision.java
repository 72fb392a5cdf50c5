package io.beryldock.quota;

/**
 * Whether a request is within the quota of its organisation. Immutable.
 *
 * @param retryAfterMillis when room is expected, for one that is not
 */
public record QuotaDecision(boolean granted, long retryAfterMillis) {

    private static final QuotaDecision GRANTED = new QuotaDecision(true, 0);

    public static QuotaDecision within() {
        return GRANTED;
    }

    static QuotaDecision over(long retryAfterMillis) {
        return new QuotaDecision(false, retryAfterMillis);
    }
}
