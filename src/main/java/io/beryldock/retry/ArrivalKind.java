package io.beryldock.retry;

import io.beryldock.call.CallContext;

/** Why a call arrives at a target: for the first time, or as a repeat. */
public enum ArrivalKind {
    /** The first arrival of a call that no repeated run makes. */
    FIRST,
    /** An earlier attempt of the call may have reached a target. */
    RESENT,
    /** An earlier attempt of a call above may have reached a target, so that this call may have been made before. */
    INHERITED;

    public static ArrivalKind of(CallContext context) {
        if (context.resent()) {
            return RESENT;
        }
        return context.repeat() ? INHERITED : FIRST;
    }
}
