package io.beryldock.time;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;

/** Brings ends of calls to the thread of a timer service, where state is kept without locks. Stateless. */
public final class TimerThread {

    private TimerThread() {}

    /** Runs the task on the timers' thread once the call has ended; the failure is null when it went well. */
    public static <T> void hear(TimerService timers, CompletableFuture<T> call, BiConsumer<T, Throwable> task) {
        call.whenComplete(
                (value, failure) -> timers.after(Duration.ZERO, () -> task.accept(value, unwrapped(failure))));
    }

    private static Throwable unwrapped(Throwable failure) {
        boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
        return wrapped ? failure.getCause() : failure;
    }
}
