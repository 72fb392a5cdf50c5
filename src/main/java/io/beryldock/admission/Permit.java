package io.beryldock.admission;

/** One slot of a target, held by a running request. Thread safe. */
@FunctionalInterface
public interface Permit {

    /** Gives the slot back; only the first call counts. */
    void release(Completion completion);
}
