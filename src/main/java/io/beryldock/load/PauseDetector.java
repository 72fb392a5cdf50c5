package io.beryldock.load;

import java.time.Duration;

/**
 * Detects pauses of this node, so that load reports that waited in its buffers meanwhile are not taken as recent.
 *
 * <p>A pause is detected as a gap between events. A node without traffic has gaps too, which does no harm: only reports
 * in answers to calls that were sent before the gap are ignored. Not thread safe; guarded by the lock of its owner.
 */
public final class PauseDetector {

    static final long PAUSE_NANOS = Duration.ofSeconds(1).toNanos();

    private long lastEvent;
    private long resumedAt;

    public PauseDetector(long now) {
        this.lastEvent = now;
        this.resumedAt = now;
    }

    /** Records that this node is running. */
    public void onEvent(long now) {
        if (now - lastEvent > PAUSE_NANOS) {
            resumedAt = now;
        }
        lastEvent = now;
    }

    /** Whether a pause of the node has ended after the given time. */
    public boolean hasPausedSince(long time) {
        return time < resumedAt;
    }
}
