package io.beryldock.idempotency;

import io.beryldock.call.Reason;

/** Result of binding a caller's key to a ticket. Immutable. */
public sealed interface BindResult {

    /** The key is bound to this ticket, no matter which node proposed it. */
    record Bound(TicketId ticket) implements BindResult {}

    /** The key is closed: its request has not run and never will. */
    record Closed() implements BindResult {}

    /** The key is bound to a request of another caller, or to a different request of the same caller. */
    record InUse() implements BindResult {}

    /** Whether the key is bound cannot be determined now. It may still become bound to the proposed ticket. */
    record Unknown(Reason reason, String detail) implements BindResult {}
}
