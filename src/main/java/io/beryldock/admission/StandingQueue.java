package io.beryldock.admission;

/**
 * Tells a standing queue from a burst, and how long a request may wait in each.
 *
 * <p>As in CoDel a queue is bad when it stands, not when it is long: a burst empties by itself. The queue is ordered by
 * importance, so the wait of those admitted says nothing of those behind; what is watched instead is the time since the
 * queue was last empty. While it stands the allowed wait is the short target, so that the least important, which wait
 * longest, are shed; before that it is the interval. Guarded by the gate's lock; times in nanoseconds.
 */
final class StandingQueue {

    private long lastEmptyAt;

    StandingQueue(long now) {
        lastEmptyAt = now;
    }

    void empty(long now) {
        lastEmptyAt = now;
    }

    boolean stands(long now, long interval) {
        return now - lastEmptyAt > interval;
    }

    /** How long a request may wait now. */
    long allowedWait(long now, long target, long interval) {
        return stands(now, interval) ? target : Math.max(target, interval);
    }
}
