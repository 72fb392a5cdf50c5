package io.beryldock.timeline;

import io.beryldock.call.RequestId;
import java.util.Optional;

/** Takes events of this node into its time line. Thread safe, never blocks, never fails. */
@FunctionalInterface
public interface EventSink {

    /**
     * Records an event now.
     *
     * @param request the request it is about, if any
     * @param subject what it is about: a service, node, route or class
     * @param detail a short sentence for the operator
     */
    void record(EventKind kind, Optional<RequestId> request, String subject, String detail);

    default void record(EventKind kind, String subject, String detail) {
        record(kind, Optional.empty(), subject, detail);
    }

    /** Drops every event. */
    static EventSink none() {
        return (kind, request, subject, detail) -> {};
    }
}
