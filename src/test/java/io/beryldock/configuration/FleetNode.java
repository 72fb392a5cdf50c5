package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.store.PlatformException;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.StoredValue;
import io.beryldock.store.WriteResult;
import io.beryldock.time.Ticker;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

/** A node of a {@link Fleet} that can be paused, stopped and started again. */
final class FleetNode {

    private final Fleet fleet;
    private final List<Runnable> deferred = new ArrayList<>();
    NodeDescriptor self;
    ActiveConfiguration activeConfiguration;
    ConfigurationSync sync;
    ConfigurationWriter writer;
    CompletableFuture<StartReport> started;
    UnaryOperator<PlatformStore> storeWrapper = UnaryOperator.identity();
    ActiveConfiguration.VersionRule versionRule = ActiveConfiguration.HIGHER_ONLY;
    boolean stopped = true;
    boolean paused;
    boolean inDirectory = true;
    int starts;
    long runningSince;
    long highestVersion;
    long bytesSent;
    long bytesReceived;
    long messagesSent;

    FleetNode(Fleet fleet, NodeDescriptor self) {
        this.fleet = fleet;
        this.self = self;
    }

    String dataCentre() {
        return self.dataCentre().value();
    }

    void start() {
        starts++;
        stopped = false;
        paused = false;
        deferred.clear();
        runningSince = fleet.now();
        highestVersion = 0;
        int incarnation = starts;
        NodeTimers timers = new NodeTimers(incarnation);
        Random random = new Random(fleet.random.nextLong());
        PlatformStore store = storeWrapper.apply(new ReachableStore());
        activeConfiguration = ActiveConfiguration.create(defaults(), EventSink.none(), versionRule);
        activeConfiguration.onChange(next -> fleet.checkVersion(this, next));
        sync = ConfigurationSync.create(
                self,
                activeConfiguration,
                new ConfigurationSync.Ports(
                        store,
                        (to, message) -> fleet.send(this, to, message),
                        () -> fleet.directory,
                        ImmutableList::of,
                        timers,
                        task -> onControl(incarnation, task),
                        random,
                        EventSink.none()));
        writer = ConfigurationWriter.create(
                store,
                activeConfiguration,
                new ConfigurationWriter.Ports(
                        task -> onControl(incarnation, task),
                        timers,
                        () -> Instant.ofEpochMilli(Duration.ofNanos(fleet.now()).toMillis()),
                        random,
                        EventSink.none()));
        started = sync.start();
        fleet.updateDirectoryLater(this);
    }

    static Configuration defaults() {
        try {
            return Configuration.defaults("vandermeulen");
        } catch (ConfigurationException e) {
            throw new AssertionError(e);
        }
    }

    /** Stops the process without notifying other nodes. */
    void kill() {
        stopped = true;
        paused = false;
        runningSince = Long.MAX_VALUE;
        fleet.updateDirectoryLater(this);
    }

    void pause() {
        if (stopped) {
            return;
        }
        paused = true;
        runningSince = Long.MAX_VALUE;
        fleet.updateDirectoryLater(this);
    }

    void resume() {
        if (!paused) {
            return;
        }
        paused = false;
        runningSince = fleet.now();
        fleet.updateDirectoryLater(this);
        List<Runnable> tasks = new ArrayList<>(deferred);
        deferred.clear();
        tasks.forEach(fleet.recordingFailures()::execute);
    }

    void onControl(int incarnation, Runnable task) {
        if (stopped || incarnation != starts) {
            return;
        }
        if (paused) {
            deferred.add(() -> onControl(incarnation, task));
        } else {
            fleet.recordingFailures().execute(task);
        }
    }

    long version() {
        return activeConfiguration.current().version();
    }

    /** Timers on the clock of the fleet; tasks that become due while the node is paused run when it resumes. */
    private final class NodeTimers implements TimerService {
        private final int incarnation;

        NodeTimers(int incarnation) {
            this.incarnation = incarnation;
        }

        @Override
        public Subscription after(Duration delay, Runnable task) {
            return fleet.timers.after(delay, () -> onControl(incarnation, task));
        }

        @Override
        public Subscription every(Duration period, Runnable task) {
            return fleet.timers.every(period, () -> onControl(incarnation, task));
        }

        @Override
        public Ticker ticker() {
            return fleet.timers.ticker();
        }
    }

    /**
     * The store as the data centre of the node can reach it: a partition fails new calls and drops the answers of calls
     * under way.
     */
    private final class ReachableStore implements PlatformStore {

        @Override
        public CompletableFuture<Optional<StoredValue>> get(String key) {
            return isReachable() ? ifReachable(fleet.store.get(key)) : CompletableFuture.failedFuture(unreachable());
        }

        @Override
        public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
            if (!isReachable()) {
                return CompletableFuture.completedFuture(WriteResult.notApplied());
            }
            return fleet.store
                    .compareAndSet(key, expectedVersion, value)
                    .thenApply(result -> isReachable() ? result : WriteResult.unknown());
        }

        @Override
        public CompletableFuture<Boolean> lease(String name, String holder, Duration length) {
            return CompletableFuture.completedFuture(false);
        }

        @Override
        public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
            return isReachable()
                    ? ifReachable(fleet.store.watch(key, afterVersion, wait))
                    : CompletableFuture.failedFuture(unreachable());
        }

        private boolean isReachable() {
            return fleet.reachesStore(dataCentre());
        }

        private <T> CompletableFuture<T> ifReachable(CompletableFuture<T> call) {
            return call.thenCompose(value -> isReachable()
                    ? CompletableFuture.completedFuture(value)
                    : CompletableFuture.failedFuture(unreachable()));
        }

        private PlatformException unreachable() {
            return new PlatformException("cut off");
        }
    }
}
