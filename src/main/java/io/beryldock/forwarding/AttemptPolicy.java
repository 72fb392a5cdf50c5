package io.beryldock.forwarding;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.retry.EndedAttempt;

/** Decides whether a call that ended without success is retried. Thread safe. */
@FunctionalInterface
interface AttemptPolicy {

    boolean tryAgain(Call call, EndedAttempt question, CallResult result);
}
