package io.beryldock.soak;

import java.time.Duration;

/**
 * The bounds that nodes are given by their settings, and that are checked. Immutable.
 *
 * @param retryShare of the requests for a service that may be sent once more, over all nodes
 * @param retryWindow in any window of this length
 * @param retrySlack repeats beside the share
 * @param removedKeys time after which a key that was taken away opens nothing
 * @param stop time from the request to stop until the end of the process
 */
public record SoakBounds(double retryShare, Duration retryWindow, int retrySlack, Duration removedKeys, Duration stop) {

    /** Bounds that alternate from seed to seed. */
    static final int KINDS = 2;

    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final Duration REMOVED_KEYS = Duration.ofSeconds(5);

    /** Leaves time for what callers wait for longest, so that a busy host cuts nothing off. */
    private static final Duration STOP = Duration.ofSeconds(12);

    /** Retries are allowed freely, so that one which must not be made is not held back by the budget. */
    private static final SoakBounds FREE = new SoakBounds(0.2, WINDOW, 50, REMOVED_KEYS, STOP);

    /** Retries are allowed so sparsely that a silent node makes more requests fail than may be sent again. */
    private static final SoakBounds SPARSE = new SoakBounds(0.01, WINDOW, 2, REMOVED_KEYS, STOP);

    /** Odd seeds have retries in plenty, even ones hardly any. */
    static SoakBounds of(long seed) {
        return seed % KINDS == 0 ? SPARSE : FREE;
    }
}
