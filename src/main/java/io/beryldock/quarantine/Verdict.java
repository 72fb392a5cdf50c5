package io.beryldock.quarantine;

/** Whether a request may run. */
public enum Verdict {
    FREE,
    /** The request was in flight when a target crashed: it runs while no other suspect runs at the same target. */
    ALONE,
    /** The request ran as a suspect when a target crashed: it is refused with {@code Reason.QUARANTINED}. */
    REFUSED
}
