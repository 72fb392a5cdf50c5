package io.beryldock.idempotency;

import io.beryldock.call.CallResult;

/** Receives the result of a ticket's request. Called on the control thread, at most once. */
@FunctionalInterface
public interface Joiner {

    void onResult(CallResult result);
}
