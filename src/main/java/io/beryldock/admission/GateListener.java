package io.beryldock.admission;

import io.beryldock.call.Reason;

/**
 * Hears what the gate decided over one request.
 *
 * <p>Exactly one of the methods is called, once, without any lock held: on the submitting thread, on the thread that
 * released another permit, or on the timer's executor; possibly before {@link TargetGate#submit} has returned.
 */
public interface GateListener {

    /** The request runs now and holds one slot until the permit is released. */
    void admitted(Permit permit);

    /** The request was never admitted and never will be. */
    void refused(Reason reason, long retryAfterMillis);
}
