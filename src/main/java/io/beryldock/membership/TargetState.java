package io.beryldock.membership;

/** What a target says of itself. */
public enum TargetState {
    /** Announced but not yet ready for work. */
    STARTING,
    READY,
    /** Takes no new work; what is in flight finishes. */
    LEAVING
}
