package io.beryldock.forwarding;

/** What this node knows of the state of a process of the target. */
public enum LifeSign {
    /** The process that ran at the start of the exchange still runs. */
    GOES_ON,
    /** That process has ended, whatever listens at its address now. */
    ENDED,
    /** A process listens at the address, and it is not known whether it is the same one. */
    UNKNOWN
}
