package io.beryldock.configuration;

import com.google.protobuf.ByteString;
import io.beryldock.store.PlatformException;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.StoredValue;
import io.beryldock.store.WriteResult;
import io.beryldock.time.TimerService;
import io.beryldock.time.TimerService.Subscription;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * A platform store whose calls always end.
 *
 * <p>Thread safe. Guards against a call that never completes, for example on a connection that has gone silent: it
 * would show as an operator's command that hangs, or a watcher that is blind for good. A read then fails, and a
 * compare-and-set ends as unknown, which is true: it may have taken effect.
 */
final class TimedStore implements PlatformStore {

    static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private final PlatformStore store;
    private final TimerService timers;

    private TimedStore(PlatformStore store, TimerService timers) {
        this.store = store;
        this.timers = timers;
    }

    static PlatformStore of(PlatformStore store, TimerService timers) {
        return new TimedStore(store, timers);
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> get(String key) {
        return within(CALL_TIMEOUT, store.get(key), TimedStore::fail);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
        CompletableFuture<WriteResult> write = store.compareAndSet(key, expectedVersion, value);
        return within(CALL_TIMEOUT, write, late -> late.complete(WriteResult.unknown()));
    }

    @Override
    public CompletableFuture<Boolean> lease(String name, String holder, Duration length) {
        return within(CALL_TIMEOUT, store.lease(name, holder, length), TimedStore::fail);
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
        return within(wait.plus(CALL_TIMEOUT), store.watch(key, afterVersion, wait), TimedStore::fail);
    }

    private static void fail(CompletableFuture<?> late) {
        late.completeExceptionally(
                new PlatformException("the platform store did not answer in time; see whether it is up"));
    }

    private <T> CompletableFuture<T> within(
            Duration time, CompletableFuture<T> call, Consumer<CompletableFuture<T>> onTimeout) {
        CompletableFuture<T> bounded = new CompletableFuture<>();
        Subscription timer = timers.after(time, () -> onTimeout.accept(bounded));
        call.whenComplete((value, failure) -> {
            timer.cancel();
            if (failure == null) {
                bounded.complete(value);
            } else {
                bounded.completeExceptionally(failure);
            }
        });
        return bounded;
    }
}
