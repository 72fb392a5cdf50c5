package io.beryldock.store;

import io.beryldock.time.Jitter;
import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides how soon after one check of the store the next one may begin.
 *
 * <p>A check that hangs is not waited for: its connection may be dead while the store is well. After several checks
 * without an answer the store itself is assumed to be silent, and its load is limited. The class decides only from
 * reported events and times; not thread safe.
 */
final class CheckSchedule {

    /** Time from one check to the next. */
    private static final long GAP = Duration.ofMillis(400).toNanos();

    /** Checks without an answer after which the store is assumed to be silent. */
    private static final int MAX_UNANSWERED = 3;

    /** The same at a watcher while the store is silent, jittered by half. */
    private static final Duration GAP_IN_OUTAGE = Duration.ofMillis(800);

    /**
     * The same at the other nodes, of which there are many. Their first check after an outage falls into the calm of
     * three seconds after which they have to be up to date again.
     */
    private static final Duration GAP_OF_OTHERS_IN_OUTAGE = Duration.ofMillis(1600);

    private final RandomGenerator random;
    private long nextAt;
    private int unanswered;

    CheckSchedule(long now, RandomGenerator random) {
        this.nextAt = now;
        this.random = random;
    }

    boolean mayBegin(long now) {
        return now - nextAt >= 0;
    }

    void onBegun(long now, boolean watcher) {
        unanswered++;
        nextAt = now + (unanswered < MAX_UNANSWERED ? GAP : gapInOutage(watcher));
    }

    private long gapInOutage(boolean watcher) {
        return Jitter.around(watcher ? GAP_IN_OUTAGE : GAP_OF_OTHERS_IN_OUTAGE, random)
                .toNanos();
    }

    void onAnswered() {
        unanswered = 0;
    }
}
