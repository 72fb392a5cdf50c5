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
 * Writes operators' configuration changes to the platform store.
 *
 * <p>Thread safe: the steps of a write run on the control thread. A change that is reported as accepted is in the store
 * at the reported version and in every later version. If the outcome of a write cannot be determined, the result is
 * {@link ChangeResult.Unknown} with the change id.
 */
public final class ConfigurationWriter {

    /** Value of {@code basedOnVersion} that stands for the version in force at this node. */
    public static final long VERSION_IN_FORCE = -1;

    private final WriterContext context;

    private ConfigurationWriter(WriterContext context) {
        this.context = context;
    }

    /** Collaborators of the writer. Immutable. */
    public record Ports(
            Executor control, TimerService timers, InstantSource clock, RandomGenerator random, EventSink events) {}

    public static ConfigurationWriter create(
            PlatformStore store, ActiveConfiguration activeConfiguration, Ports ports) {
        return new ConfigurationWriter(
                WriterContext.of(TimedStore.of(store, ports.timers()), activeConfiguration, ports));
    }

    /**
     * Writes a change; completes within about {@link Submission#MAX_SECONDS} seconds, however the store behaves.
     *
     * @param operator name of the operator who submits the change, for the history
     * @param basedOnVersion the version that the operator based the change on, or {@link #VERSION_IN_FORCE}
     */
    public CompletableFuture<ChangeResult> submit(ConfigurationChange change, String operator, long basedOnVersion) {
        return onControl(
                () -> Submission.of(context, change, operator, basedOnVersion).run());
    }

    /** Checks a change against the newest configuration without writing it. */
    public CompletableFuture<ChangeResult> dryRun(ConfigurationChange change, long basedOnVersion) {
        return onControl(
                () -> Submission.of(context, change, "dry-run", basedOnVersion).check());
    }

    /**
     * Writes this node's configuration to a store that has lost accepted changes.
     *
     * <p>Rejected while the store holds this node's version or a higher one. The document is written under a new
     * lineage and with a version higher than any that a node can hold.
     */
    public CompletableFuture<ChangeResult> restore(String operator) {
        return onControl(() -> StoreRestore.of(context, operator).run());
    }

    private CompletableFuture<ChangeResult> onControl(Supplier<CompletableFuture<ChangeResult>> task) {
        return CompletableFuture.supplyAsync(task, context.control()).thenCompose(result -> result);
    }
}
