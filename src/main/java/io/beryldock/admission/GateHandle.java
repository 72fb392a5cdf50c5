package io.beryldock.admission;

/** Handle for cancelling a submitted request. Thread safe. */
@FunctionalInterface
public interface GateHandle {

    /**
     * Cancels the request. A queued request is removed from the queue and refused with {@code CANCELLED}; a request
     * that was admitted is marked abandoned and keeps its slot until its permit is released. Idempotent.
     */
    void cancel();
}
