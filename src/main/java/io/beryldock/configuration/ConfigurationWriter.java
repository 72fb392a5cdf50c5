package io.beryldock.configuration;

import io.beryldock.store.PlatformStore;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Writes operators' changes into the platform store.
 *
 * <p>Thread safe: its steps run on the control thread. A change that it calls accepted is in the store at the version
 * that it names and in every later one; when it can't tell, it says unknown and gives the change id.
 */
public final class ConfigurationWriter {

    /** Stands for the version in force at this node as what the operator saw. */
    public static final long VERSION_IN_FORCE = -1;

    private final WriterContext context;

    private ConfigurationWriter(WriterContext context) {
        this.context = context;
    }

    /** What the writer is given from outside. Immutable. */
    public record Ports(
            Executor control, TimerService timers, InstantSource clock, RandomGenerator random, EventSink events) {}

    public static ConfigurationWriter create(PlatformStore store, ConfigurationKeeper keeper, Ports ports) {
        return new ConfigurationWriter(WriterContext.of(TimedStore.of(store, ports.timers()), keeper, ports));
    }

    /**
     * Writes a change; completes within some {@link Submission#MOST_SECONDS} seconds whatever the store does.
     *
     * @param operator who asks for it, for the history
     * @param basedOnVersion the version that the operator saw, or {@link #VERSION_IN_FORCE}
     */
    public CompletableFuture<ChangeResult> submit(ConfigurationChange change, String operator, long basedOnVersion) {
        return onControl(
                () -> Submission.of(context, change, operator, basedOnVersion).run());
    }

    /** Checks a change against the newest configuration and writes nothing. */
    public CompletableFuture<ChangeResult> dryRun(ConfigurationChange change, long basedOnVersion) {
        return onControl(
                () -> Submission.of(context, change, "dry-run", basedOnVersion).check());
    }

    /**
     * Gives the store back what this node has, for a store that lost accepted changes.
     *
     * <p>Refused while the store holds this node's version or a higher one. The document goes under a new lineage and a
     * version above all that any node can hold.
     */
    public CompletableFuture<ChangeResult> restore(String operator) {
        return onControl(() -> StoreRestore.of(context, operator).run());
    }

    private CompletableFuture<ChangeResult> onControl(Supplier<CompletableFuture<ChangeResult>> task) {
        return CompletableFuture.supplyAsync(task, context.control()).thenCompose(result -> result);
    }
}
