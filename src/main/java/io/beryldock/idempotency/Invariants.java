package io.beryldock.idempotency;

import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;

/**
 * Aborts an operation that would violate an invariant of keyed requests, and records the violation in the timeline.
 * Stateless, thread safe.
 */
final class Invariants {

    private Invariants() {}

    /**
     * Throws {@link IllegalStateException} if the invariant does not hold: failing a request is better than running it
     * twice.
     */
    static void check(EventSink events, boolean holds, String subject, String message) {
        if (!holds) {
            events.record(EventKind.INVARIANT_BROKEN, subject, message);
            throw new IllegalStateException(message + ": " + subject);
        }
    }
}
