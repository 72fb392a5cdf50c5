package io.beryldock.idempotency;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/**
 * Attaches callbacks to futures and logs exceptions that the callbacks throw, because no caller would observe them.
 * Stateless, thread safe.
 */
final class FutureCallbacks {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private FutureCallbacks() {}

    /** Runs the callback when the future completes, on the thread that completes it. */
    static <T> void onComplete(CompletableFuture<T> future, BiConsumer<T, Throwable> callback) {
        onComplete(future, Runnable::run, callback);
    }

    /** Runs the callback on the executor when the future completes. */
    static <T> void onComplete(CompletableFuture<T> future, Executor executor, BiConsumer<T, Throwable> callback) {
        CompletableFuture<T> unused = future.whenCompleteAsync(
                (value, failure) -> {
                    try {
                        callback.accept(value, failure);
                    } catch (RuntimeException e) {
                        log.atSevere().withCause(e).log("future callback threw an exception");
                    }
                },
                executor);
    }
}
