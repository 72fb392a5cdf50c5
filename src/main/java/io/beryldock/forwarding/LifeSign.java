package io.beryldock.forwarding;

/** What is known of a life of the target. */
public enum LifeSign {
    /** The process that ran at the start of the exchange runs on. */
    GOES_ON,
    /** That process has ended, whatever listens at its address now. */
    ENDED,
    /** Something listens at the address, and nothing tells whether it is the same process. */
    UNKNOWN
}
