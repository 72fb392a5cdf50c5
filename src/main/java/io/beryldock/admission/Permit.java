package io.beryldock.admission;

/** A slot of a target, held by a running request. Thread safe. */
@FunctionalInterface
public interface Permit {

    /** Releases the slot; only the first call has an effect. */
    void release(Completion completion);
}
