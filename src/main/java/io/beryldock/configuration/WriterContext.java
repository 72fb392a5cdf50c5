package io.beryldock.configuration;

import com.google.common.io.BaseEncoding;
import io.beryldock.store.PlatformStore;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Collaborators that all writes of one node share. Immutable; the collaborators are used on the control thread. */
record WriterContext(
        PlatformStore store,
        ConfigurationStore reader,
        StoreCompactor compactor,
        ActiveConfiguration activeConfiguration,
        Executor control,
        TimerService timers,
        InstantSource clock,
        RandomGenerator random,
        EventSink events) {

    private static final int ID_BYTES = 16;
    private static final int LINEAGE_BYTES = 8;

    static WriterContext of(
            PlatformStore store, ActiveConfiguration activeConfiguration, ConfigurationWriter.Ports ports) {
        return new WriterContext(
                store,
                ConfigurationStore.of(store),
                StoreCompactor.of(store),
                activeConfiguration,
                ports.control(),
                ports.timers(),
                ports.clock(),
                ports.random(),
                ports.events());
    }

    String newChangeId() {
        return hex(ID_BYTES);
    }

    String newLineage() {
        return hex(LINEAGE_BYTES);
    }

    private String hex(int length) {
        byte[] bytes = new byte[length];
        random.nextBytes(bytes);
        return BaseEncoding.base16().lowerCase().encode(bytes);
    }

    /**
     * Runs the step after a random delay between half and all of {@code delay}, so that conflicting writers do not
     * retry at the same time.
     */
    <T> CompletableFuture<T> runAfterJitter(Duration delay, Supplier<CompletableFuture<T>> step) {
        CompletableFuture<T> result = new CompletableFuture<>();
        long nanos = delay.toNanos() / 2 + random.nextLong(delay.toNanos() / 2 + 1);
        timers.after(
                Duration.ofNanos(nanos),
                () -> step.get().whenComplete((value, failure) -> {
                    if (failure == null) {
                        result.complete(value);
                    } else {
                        result.completeExceptionally(failure);
                    }
                }));
        return result;
    }
}
