package io.beryldock.admission;

import com.google.common.flogger.FluentLogger;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;

/**
 * Reports violated invariants of one aggregate to the timeline and the log. Processing continues: refusing to continue
 * would fail more requests than the violation itself. Thread safe.
 */
final class Invariants {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final EventSink events;
    private final String subject;

    Invariants(EventSink events, String subject) {
        this.events = events;
        this.subject = subject;
    }

    void check(boolean holds, String violation) {
        if (!holds) {
            log.atSevere().log("invariant broken at %s: %s", subject, violation);
            events.record(EventKind.INVARIANT_BROKEN, subject, violation);
        }
    }
}
