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
 * A platform store that applies a timeout to every call.
 *
 * <p>Thread safe. Guards against calls that never complete, for example on a connection that no longer delivers
 * packets: without the timeout an operator's command would hang, or a store watcher would never again see a change.
 * After the timeout a read fails and a compare-and-set completes as unknown, because it may have taken effect.
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
        return withTimeout(CALL_TIMEOUT, store.get(key), TimedStore::fail);
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
        CompletableFuture<WriteResult> write = store.compareAndSet(key, expectedVersion, value);
        return withTimeout(CALL_TIMEOUT, write, pending -> pending.complete(WriteResult.unknown()));
    }

    @Override
    public CompletableFuture<Boolean> lease(String name, String holder, Duration length) {
        return withTimeout(CALL_TIMEOUT, store.lease(name, holder, length), TimedStore::fail);
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
        return withTimeout(wait.plus(CALL_TIMEOUT), store.watch(key, afterVersion, wait), TimedStore::fail);
    }

    private static void fail(CompletableFuture<?> pending) {
        pending.completeExceptionally(
                new PlatformException("the platform store did not answer in time; see whether it is up"));
    }

    private <T> CompletableFuture<T> withTimeout(
            Duration time, CompletableFuture<T> call, Consumer<CompletableFuture<T>> onTimeout) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Subscription timer = timers.after(time, () -> onTimeout.accept(result));
        call.whenComplete((value, failure) -> {
            timer.cancel();
            if (failure == null) {
                result.complete(value);
            } else {
                result.completeExceptionally(failure);
            }
        });
        return result;
    }
}
