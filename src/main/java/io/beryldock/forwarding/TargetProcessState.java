package io.beryldock.forwarding;

/** The state of a target process, as far as this node knows it. */
public enum TargetProcessState {
    /** The process that ran at the start of the exchange still runs. */
    GOES_ON,
    /** That process has ended, whatever listens at its address now. */
    ENDED,
    /** A process listens at the address, and it is not known whether it is the same one. */
    UNKNOWN
}
