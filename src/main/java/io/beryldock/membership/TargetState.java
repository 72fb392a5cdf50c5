package io.beryldock.membership;

/** The state of a target as announced by the target itself. */
public enum TargetState {
    /** Announced but not yet ready for requests. */
    STARTING,
    READY,
    /** Accepts no new requests; requests in flight are completed. */
    LEAVING
}
