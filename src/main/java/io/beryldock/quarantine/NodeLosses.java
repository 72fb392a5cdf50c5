package io.beryldock.quarantine;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The nodes whose connections were lost recently.
 *
 * <p>Not thread safe.
 */
final class NodeLosses {

    private final long windowNanos;
    private final int massLoss;
    private final Map<Long, Long> lostAt = new HashMap<>();

    NodeLosses(long windowNanos, int massLoss) {
        this.windowNanos = windowNanos;
        this.massLoss = massLoss;
    }

    void onLost(long crash, long now) {
        lostAt.values().removeIf(at -> now - at > windowNanos);
        lostAt.put(crash, now);
    }

    /** Whether so many nodes were lost within the window that the losses share a cause. */
    boolean isMassLoss() {
        return lostAt.size() >= massLoss;
    }

    /** Ids of the losses within the window. */
    Set<Long> crashes() {
        return Set.copyOf(lostAt.keySet());
    }
}
