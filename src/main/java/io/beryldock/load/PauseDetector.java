package io.beryldock.load;

import java.time.Duration;

/**
 * Tells which answers were sent before a pause of this node, so that what they report may be old.
 *
 * <p>A pause shows as a gap between events. A node without traffic has gaps as well, which does no harm: only answers
 * to calls that were sent before the gap are left out. Not thread safe; guarded by the lock of its owner.
 */
public final class PauseDetector {

    static final long PAUSE_NANOS = Duration.ofSeconds(1).toNanos();

    private long lastEvent;
    private long resumedAt;

    public PauseDetector(long now) {
        this.lastEvent = now;
        this.resumedAt = now;
    }

    /** Something happened at this node. */
    public void onEvent(long now) {
        if (now - lastEvent > PAUSE_NANOS) {
            resumedAt = now;
        }
        lastEvent = now;
    }

    /** Whether the node has paused since then. */
    public boolean hasPausedSince(long then) {
        return then < resumedAt;
    }
}
