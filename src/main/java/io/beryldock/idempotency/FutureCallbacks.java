package io.beryldock.idempotency;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/** Callbacks whose own failure is logged, since nobody waits for them. Stateless, thread safe. */
final class FutureCallbacks {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private FutureCallbacks() {}

    /** Calls back when the future ends, on the thread that ends it. */
    static <T> void onEnd(CompletableFuture<T> future, BiConsumer<T, Throwable> callback) {
        onEnd(future, Runnable::run, callback);
    }

    /** Calls back on the executor when the future ends. */
    static <T> void onEnd(CompletableFuture<T> future, Executor executor, BiConsumer<T, Throwable> callback) {
        CompletableFuture<T> unused = future.whenCompleteAsync(
                (value, failure) -> {
                    try {
                        callback.accept(value, failure);
                    } catch (RuntimeException e) {
                        log.atSevere().withCause(e).log("a callback failed");
                    }
                },
                executor);
    }
}
