package io.beryldock.admission;

/** A submitted request that can be given up. Thread safe. */
@FunctionalInterface
public interface GateHandle {

    /**
     * Takes the request out of the queue, which refuses it with {@code CANCELLED}; a request that was admitted is
     * marked abandoned and keeps its slot until its permit is released. Idempotent.
     */
    void cancel();
}
