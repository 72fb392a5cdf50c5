package io.beryldock.retry;

import io.beryldock.call.CallContext;

/** Why a call arrives at a target: for the first time, or as a repeat. */
public enum ArrivalKind {
    /** The first arrival of a call that no repeated run makes. */
    FIRST,
    /** An earlier attempt of the call may have reached a target. */
    RESENT,
    /** The run that makes the call repeats an earlier run, which made the same call. */
    INHERITED,
    /** The first arrival of a call whose run, or one above it, follows an arrival that a target rejected. */
    BELOW_REJECTION;

    public static ArrivalKind of(CallContext context) {
        if (context.resent()) {
            return RESENT;
        }
        if (context.repeat()) {
            return INHERITED;
        }
        return context.belowRejection() ? BELOW_REJECTION : FIRST;
    }
}
