package io.beryldock.idempotency;

import io.beryldock.call.Reason;

/** What became of binding a caller's key. Immutable. */
public sealed interface BindResult {

    /** The key stands for this ticket, whoever proposed it. */
    record Bound(TicketId ticket) implements BindResult {}

    /** The key is closed: it never ran and never will. */
    record Closed() implements BindResult {}

    /** The key stands for another caller's request or for another request. */
    record InUse() implements BindResult {}

    /** Nobody can say now whether the key is bound. The proposed ticket may yet become its ticket. */
    record Unknown(Reason reason, String detail) implements BindResult {}
}
