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

/** What all writes of one node share. Immutable; its parts are used on the control thread. */
record WriterContext(
        PlatformStore store,
        ConfigurationStore reader,
        StoreCompactor compactor,
        ConfigurationKeeper keeper,
        Executor control,
        TimerService timers,
        InstantSource clock,
        RandomGenerator random,
        EventSink events) {

    private static final int ID_BYTES = 16;
    private static final int LINEAGE_BYTES = 8;

    static WriterContext of(PlatformStore store, ConfigurationKeeper keeper, ConfigurationWriter.Ports ports) {
        return new WriterContext(
                store,
                ConfigurationStore.of(store),
                StoreCompactor.of(store),
                keeper,
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

    /** Runs the step after between half of and the whole delay, so that writers in conflict part. */
    <T> CompletableFuture<T> later(Duration delay, Supplier<CompletableFuture<T>> step) {
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
