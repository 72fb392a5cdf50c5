package io.beryldock.admission;

import io.beryldock.call.Reason;

/**
 * Receives the gate's decision on one request.
 *
 * <p>Exactly one of the methods is called, once and without any lock held: on the submitting thread, on the thread
 * whose call to the gate led to the decision, for example by releasing another permit, or on the timer's executor. The
 * call may happen before {@link TargetGate#submit} has returned.
 */
public interface GateListener {

    /** The request is admitted and holds one slot until the permit is released. */
    void admitted(Permit permit);

    /** The request was never admitted and never will be. */
    void refused(Reason reason, long retryAfterMillis);
}
