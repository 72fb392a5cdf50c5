package io.beryldock.idempotency;

import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Ends the wait for a keyed request when its time is over; the request itself goes on. Stateless, thread safe. */
final class Deadlines {

    private Deadlines() {}

    /** The same result, or UNKNOWN when none has come in time. */
    static CompletableFuture<CallResult> bound(
            TimerService timers, CompletableFuture<CallResult> result, Duration timeLeft) {
        if (result.isDone()) {
            return result;
        }
        CompletableFuture<CallResult> told = new CompletableFuture<>();
        TimerService.Subscription timer = timers.after(timeLeft, () -> told.complete(overdue()));
        FutureCallbacks.onEnd(result, (value, failure) -> {
            timer.cancel();
            told.complete(failure == null ? value : CallResult.unknown(Reason.INTERNAL, String.valueOf(failure)));
        });
        return told;
    }

    static CallResult overdue() {
        return CallResult.unknown(Reason.TIMED_OUT, "send it again under the same key to learn what became of it");
    }
}
