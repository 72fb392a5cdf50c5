package io.beryldock.idempotency;

import io.beryldock.call.CallResult;

/** What a home does with a keyed request that is presented to it. Immutable. */
public sealed interface TicketDecision {

    /** Run it: said once for a ticket, ever. The presenter waits as a joiner. */
    record Dispatch() implements TicketDecision {}

    /** It is in flight; the presenter waits as a joiner. */
    record Joined() implements TicketDecision {}

    /** It has ended; here is its answer. */
    record Replay(CallResult result) implements TicketDecision {}

    /** Nobody knows what became of it; an answer kept by a target's node may settle it, else this is told. */
    record Settle(CallResult otherwise) implements TicketDecision {}

    /** Nothing is run and nothing replayed. */
    record Refuse(CallResult result) implements TicketDecision {}
}
