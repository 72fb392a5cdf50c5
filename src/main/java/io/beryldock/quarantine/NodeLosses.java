package io.beryldock.quarantine;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The nodes whose connections were lost of late.
 *
 * <p>Not thread safe.
 */
final class NodeLosses {

    private final long windowNanos;
    private final int mass;
    private final Map<Long, Long> lostAt = new HashMap<>();

    NodeLosses(long windowNanos, int mass) {
        this.windowNanos = windowNanos;
        this.mass = mass;
    }

    void onLost(long crash, long now) {
        lostAt.values().removeIf(at -> now - at > windowNanos);
        lostAt.put(crash, now);
    }

    /** Whether so many nodes went at once that they share a cause. */
    boolean isMassLoss() {
        return lostAt.size() >= mass;
    }

    /** Names of the losses within the window. */
    Set<Long> crashes() {
        return Set.copyOf(lostAt.keySet());
    }
}
