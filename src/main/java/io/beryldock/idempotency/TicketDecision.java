package io.beryldock.idempotency;

import io.beryldock.call.CallResult;

/** A home's decision about a keyed request that is presented to it. Immutable. */
public sealed interface TicketDecision {

    /** Dispatch the request; returned at most once per ticket. The presenter waits as a joiner. */
    record Dispatch() implements TicketDecision {}

    /** The request is in flight; the presenter waits as a joiner. */
    record Joined() implements TicketDecision {}

    /** The request has ended; its stored answer is replayed. */
    record Replay(CallResult result) implements TicketDecision {}

    /**
     * The outcome is UNKNOWN; an answer stored at a target's node may resolve it, otherwise {@code otherwise} is
     * returned.
     */
    record Resolve(CallResult otherwise) implements TicketDecision {}

    /** The request is refused: it is neither dispatched nor replayed. */
    record Refuse(CallResult result) implements TicketDecision {}
}
