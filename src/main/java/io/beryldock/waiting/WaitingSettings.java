package io.beryldock.waiting;

/**
 * Bounds of what an entry lets wait. Immutable.
 *
 * @param maxRequests most requests that wait at once
 * @param maxBytes most bytes held for them
 */
public record WaitingSettings(int maxRequests, long maxBytes) {

    /** Two seconds of the callers of an entry that is asked a thousand times a second. */
    private static final int DEFAULT_MAX_REQUESTS = 2_048;

    /** A small part of what the smallest VM leaves to its node. */
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
