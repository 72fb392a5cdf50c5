package io.beryldock.idempotency;

import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;

/** Stops a step that would break a promise about a key, and reports it to the time line. Stateless, thread safe. */
final class Invariants {

    private Invariants() {}

    /** Throws rather than go on: no order is better than two. */
    static void check(EventSink events, boolean holds, String subject, String what) {
        if (!holds) {
            events.record(EventKind.INVARIANT_BROKEN, subject, what);
            throw new IllegalStateException(what + ": " + subject);
        }
    }
}
