package io.beryldock.time;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;

/** Runs the completion handlers of calls on the thread of a timer service, which needs no locks. Stateless. */
public final class TimerThread {

    private TimerThread() {}

    /** Runs the task on the timer thread once the call has completed; the failure is null if the call succeeded. */
    public static <T> void onCompletion(TimerService timers, CompletableFuture<T> call, BiConsumer<T, Throwable> task) {
        call.whenComplete(
                (value, failure) -> timers.after(Duration.ZERO, () -> task.accept(value, unwrapped(failure))));
    }

    private static Throwable unwrapped(Throwable failure) {
        boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
        return wrapped ? failure.getCause() : failure;
    }
}
