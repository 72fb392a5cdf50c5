package io.beryldock.admission;

/**
 * Distinguishes a standing queue from a burst and determines the allowed wait in each.
 *
 * <p>As in CoDel, a queue is a problem when it persists, not when it is long: the queue of a burst drains by itself.
 * The queue is ordered by importance, so the wait of admitted requests indicates nothing about the requests behind
 * them; the time since the queue was last empty is measured instead. While the queue stands, the allowed wait is the
 * short target, so that the least important requests, which wait longest, are shed; before that it is the interval, or
 * the target when that is longer. Guarded by the gate's lock; times in nanoseconds.
 */
final class StandingQueueDetector {

    private long lastEmptyAt;

    StandingQueueDetector(long now) {
        lastEmptyAt = now;
    }

    void markEmpty(long now) {
        lastEmptyAt = now;
    }

    boolean isStanding(long now, long interval) {
        return now - lastEmptyAt > interval;
    }

    /** Returns how long a request may wait at this time. */
    long allowedWait(long now, long target, long interval) {
        return isStanding(now, interval) ? target : Math.max(target, interval);
    }
}
