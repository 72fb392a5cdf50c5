package io.beryldock.quarantine;

/** Whether a request may run. */
public enum Verdict {
    FREE,
    /** It was in flight when a target crashed: it runs while no other suspect does at the same target. */
    ALONE,
    /** It ran as a suspect and its target crashed again: refused with {@code Reason.QUARANTINED}. */
    REFUSED
}
