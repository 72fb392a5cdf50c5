package io.beryldock.idempotency;

import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Bounds the wait for the result of a keyed request; the request itself continues. Stateless, thread safe. */
final class Deadlines {

    private Deadlines() {}

    /** Returns the result, or UNKNOWN if it does not arrive within the time left. */
    static CompletableFuture<CallResult> withTimeout(
            TimerService timers, CompletableFuture<CallResult> result, Duration timeLeft) {
        if (result.isDone()) {
            return result;
        }
        CompletableFuture<CallResult> bounded = new CompletableFuture<>();
        TimerService.Subscription timer = timers.after(timeLeft, () -> bounded.complete(timedOut()));
        FutureCallbacks.onComplete(result, (value, failure) -> {
            timer.cancel();
            bounded.complete(failure == null ? value : CallResult.unknown(Reason.INTERNAL, String.valueOf(failure)));
        });
        return bounded;
    }

    static CallResult timedOut() {
        return CallResult.unknown(Reason.TIMED_OUT, "send it again under the same key to learn what became of it");
    }
}
