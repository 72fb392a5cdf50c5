package io.beryldock.timeline;

import io.beryldock.call.RequestId;
import java.util.Optional;

/** Records events of this node in its time line. Thread safe, never blocks, never fails. */
@FunctionalInterface
public interface EventSink {

    /**
     * Records an event with the current time.
     *
     * @param request the request that the event concerns, if any
     * @param subject the service, node, route or class that the event concerns
     * @param detail a short sentence for the operator
     */
    void record(EventKind kind, Optional<RequestId> request, String subject, String detail);

    default void record(EventKind kind, String subject, String detail) {
        record(kind, Optional.empty(), subject, detail);
    }

    /** A sink that discards every event. */
    static EventSink none() {
        return (kind, request, subject, detail) -> {};
    }
}
