package io.beryldock.waiting;

/**
 * Bounds on the requests that wait at an entry node. Immutable.
 *
 * @param maxRequests maximum number of waiting requests
 * @param maxBytes maximum memory held for them
 */
public record WaitingSettings(int maxRequests, long maxBytes) {

    /** Two seconds of arrivals at an entry node that receives a thousand requests per second. */
    private static final int DEFAULT_MAX_REQUESTS = 2_048;

    /** A small share of the memory that the smallest VM leaves to its node. */
    private static final long DEFAULT_MAX_BYTES = 8L << 20;

    public WaitingSettings {
        if (maxRequests < 0 || maxBytes < 0) {
            throw new IllegalArgumentException("bounds of waiting requests must be 0 or more: " + maxRequests
                    + " requests, " + maxBytes + " bytes");
        }
    }

    public static WaitingSettings defaults() {
        return new WaitingSettings(DEFAULT_MAX_REQUESTS, DEFAULT_MAX_BYTES);
    }
}
