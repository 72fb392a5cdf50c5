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

/** One node of a {@link Fleet}: it can be paused, stopped and started again. */
final class FleetNode {

    private final Fleet fleet;
    private final List<Runnable> held = new ArrayList<>();
    NodeDescriptor self;
    ConfigurationKeeper keeper;
    ConfigurationSync sync;
    ConfigurationWriter writer;
    CompletableFuture<StartReport> started;
    UnaryOperator<PlatformStore> storeSeenAs = UnaryOperator.identity();
    ConfigurationKeeper.VersionRule versionRule = ConfigurationKeeper.HIGHER_ONLY;
    boolean stopped = true;
    boolean paused;
    boolean listed = true;
    int starts;
    long steadySince;
    long highest;
    long bytesSent;
    long bytesReceived;
    long messagesSent;

    FleetNode(Fleet fleet, NodeDescriptor self) {
        this.fleet = fleet;
        this.self = self;
    }

    String place() {
        return self.dataCentre().value();
    }

    void start() {
        starts++;
        stopped = false;
        paused = false;
        held.clear();
        steadySince = fleet.now();
        highest = 0;
        int incarnation = starts;
        NodeTimers timers = new NodeTimers(incarnation);
        Random random = new Random(fleet.random.nextLong());
        PlatformStore store = storeSeenAs.apply(new ReachedStore());
        keeper = ConfigurationKeeper.create(defaults(), EventSink.none(), versionRule);
        keeper.onChange(next -> fleet.note(this, next));
        sync = ConfigurationSync.create(
                self,
                keeper,
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
                keeper,
                new ConfigurationWriter.Ports(
                        task -> onControl(incarnation, task),
                        timers,
                        () -> Instant.ofEpochMilli(Duration.ofNanos(fleet.now()).toMillis()),
                        random,
                        EventSink.none()));
        started = sync.start();
        fleet.detect(this);
    }

    static Configuration defaults() {
        try {
            return Configuration.defaults("vandermeulen");
        } catch (ConfigurationException e) {
            throw new AssertionError(e);
        }
    }

    /** Ends the process without a word. */
    void kill() {
        stopped = true;
        paused = false;
        steadySince = Long.MAX_VALUE;
        fleet.detect(this);
    }

    void pause() {
        if (stopped) {
            return;
        }
        paused = true;
        steadySince = Long.MAX_VALUE;
        fleet.detect(this);
    }

    void resume() {
        if (!paused) {
            return;
        }
        paused = false;
        steadySince = fleet.now();
        fleet.detect(this);
        List<Runnable> tasks = new ArrayList<>(held);
        held.clear();
        tasks.forEach(fleet.guarded()::execute);
    }

    void onControl(int incarnation, Runnable task) {
        if (stopped || incarnation != starts) {
            return;
        }
        if (paused) {
            held.add(() -> onControl(incarnation, task));
        } else {
            fleet.guarded().execute(task);
        }
    }

    long version() {
        return keeper.current().version();
    }

    /** The fleet's clock; tasks that fall due while the node is paused run when it goes on. */
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

    /** The store as far as the data centre reaches it: a cut hits calls and the answers under way. */
    private final class ReachedStore implements PlatformStore {

        @Override
        public CompletableFuture<Optional<StoredValue>> get(String key) {
            return reaches() ? answered(fleet.store.get(key)) : CompletableFuture.failedFuture(unreachable());
        }

        @Override
        public CompletableFuture<WriteResult> compareAndSet(String key, long expectedVersion, ByteString value) {
            if (!reaches()) {
                return CompletableFuture.completedFuture(WriteResult.notApplied());
            }
            return fleet.store
                    .compareAndSet(key, expectedVersion, value)
                    .thenApply(result -> reaches() ? result : WriteResult.unknown());
        }

        @Override
        public CompletableFuture<Boolean> lease(String name, String holder, Duration length) {
            return CompletableFuture.completedFuture(false);
        }

        @Override
        public CompletableFuture<Optional<StoredValue>> watch(String key, long afterVersion, Duration wait) {
            return reaches()
                    ? answered(fleet.store.watch(key, afterVersion, wait))
                    : CompletableFuture.failedFuture(unreachable());
        }

        private boolean reaches() {
            return fleet.reachesStore(place());
        }

        private <T> CompletableFuture<T> answered(CompletableFuture<T> call) {
            return call.thenCompose(value -> reaches()
                    ? CompletableFuture.completedFuture(value)
                    : CompletableFuture.failedFuture(unreachable()));
        }

        private PlatformException unreachable() {
            return new PlatformException("cut off");
        }
    }
}
