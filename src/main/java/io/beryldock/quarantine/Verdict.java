package io.beryldock.quarantine;

/** Whether a request may run. */
public enum Verdict {
    FREE,
    /** It was in flight when a target crashed: it runs while no other suspect does at the same target. */
    ALONE,
    /** A request like it crashed two targets: it is refused with {@code Reason.QUARANTINED}. */
    REFUSED
}
