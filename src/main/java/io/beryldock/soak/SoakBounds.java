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

    /**
     * Retries are allowed so sparsely that a single silent node makes more requests fail than may be sent again. A stop
     * leaves time for what callers wait for longest, so that a busy machine cuts nothing off.
     */
    private static final SoakBounds USUAL =
            new SoakBounds(0.01, Duration.ofSeconds(10), 2, Duration.ofSeconds(5), Duration.ofSeconds(12));

    public static SoakBounds usual() {
        return USUAL;
    }
}
