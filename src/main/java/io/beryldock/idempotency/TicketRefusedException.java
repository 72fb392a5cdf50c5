package io.beryldock.idempotency;

import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;

/** Thrown when no ticket can be minted; the result holds the reason and the remedy for the caller. */
public final class TicketRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient CallResult result;

    TicketRefusedException(Reason reason, String detail) {
        super(reason.message() + ": " + reason.remedy());
        this.result = CallResult.notRun(reason, detail);
    }

    public CallResult result() {
        return result;
    }
}
