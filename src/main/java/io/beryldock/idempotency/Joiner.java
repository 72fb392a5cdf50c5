package io.beryldock.idempotency;

import io.beryldock.call.CallResult;

/** Waits for what becomes of a ticket. Called on the control thread, at most once. */
@FunctionalInterface
public interface Joiner {

    void done(CallResult result);
}
