package io.beryldock.admission;

import com.google.common.flogger.FluentLogger;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;

/**
 * Reports broken invariants of one aggregate to the time line and the log, and goes on: refusing to work on would cut
 * off more requests than the broken promise. Thread safe.
 */
final class Invariants {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final EventSink events;
    private final String subject;

    Invariants(EventSink events, String subject) {
        this.events = events;
        this.subject = subject;
    }

    void check(boolean holds, String what) {
        if (!holds) {
            log.atSevere().log("invariant broken at %s: %s", subject, what);
            events.record(EventKind.INVARIANT_BROKEN, subject, what);
        }
    }
}
