package io.beryldock.configuration;

import com.google.common.base.Throwables;
import com.google.common.flogger.FluentLogger;
import io.beryldock.store.PlatformStore;
import io.beryldock.store.StoredValue;
import io.beryldock.time.TimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/**
 * Reads the head from the store and watches it while this node is one of its data centre's watchers.
 *
 * <p>On the control thread only. A watch waits for {@link #WAIT}; each counts as one call of the store. That is short,
 * so that a watch whose connection has gone silent blinds a watcher for seconds only.
 */
final class StoreWatch {

    static final Duration WAIT = Duration.ofSeconds(5);

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private static final Duration FIRST_RETRY = Duration.ofMillis(500);
    private static final Duration LAST_RETRY = Duration.ofSeconds(4);
    private static final int MAX_DOUBLINGS = 3;
    /** Watches without news after which the head is read whatever its version. */
    private static final int FRESH_EVERY = 6;

    private final PlatformStore store;
    private final ConfigurationStore reader;
    private final ConfigurationKeeper keeper;
    private final TimerService timers;
    private final Executor control;
    private final RandomGenerator random;
    private final EventSink events;

    private boolean wanted;
    private boolean running;
    private long storeVersion = PlatformStore.ABSENT;
    private int failures;
    private int quietWatches;
    private boolean lossNoted;

    private StoreWatch(PlatformStore store, ConfigurationKeeper keeper, ConfigurationSync.Ports ports) {
        this.store = store;
        this.reader = ConfigurationStore.of(store);
        this.keeper = keeper;
        this.timers = ports.timers();
        this.control = ports.control();
        this.random = ports.random();
        this.events = ports.events();
    }

    static StoreWatch create(ConfigurationKeeper keeper, ConfigurationSync.Ports ports) {
        return new StoreWatch(TimedStore.of(ports.store(), ports.timers()), keeper, ports);
    }

    /** Says whether this node is a watcher; a watch under way ends by itself. */
    void want(boolean watching) {
        wanted = watching;
        if (wanted && !running) {
            running = true;
            watch();
        }
    }

    /** What reading the head came to. */
    enum ReadOutcome {
        /** What the store has is in force here. */
        TAKEN,
        /** The store answered that it has no configuration. */
        EMPTY,
        FAILED
    }

    /** Reads the head once. */
    CompletableFuture<ReadOutcome> read() {
        long inForceBefore = keeper.current().version();
        return store.get(StoreKeys.HEAD)
                .thenComposeAsync(stored -> readValue(stored, inForceBefore), control)
                .handleAsync((outcome, failure) -> failure == null ? outcome : ReadOutcome.FAILED, control);
    }

    private CompletableFuture<ReadOutcome> readValue(Optional<StoredValue> stored, long inForceBefore) {
        if (stored.isEmpty()) {
            storeVersion = PlatformStore.ABSENT;
            noteIfLost(Configuration.DEFAULTS_VERSION, inForceBefore);
            return CompletableFuture.completedFuture(ReadOutcome.EMPTY);
        }
        return take(stored, inForceBefore).thenApply(taken -> ReadOutcome.TAKEN);
    }

    private void watch() {
        if (!wanted) {
            running = false;
            return;
        }
        long inForceBefore = keeper.current().version();
        store.watch(StoreKeys.HEAD, afterVersion(), WAIT)
                .thenComposeAsync(stored -> take(stored, inForceBefore), control)
                .whenCompleteAsync((taken, failure) -> watched(failure), control);
    }

    /**
     * The store's version to wait for a higher one of.
     *
     * <p>Guards against a store that was set back: its versions begin again below the one last seen, and a watcher
     * would wait for good. So now and then it takes whatever is there.
     */
    private long afterVersion() {
        quietWatches++;
        if (quietWatches % FRESH_EVERY == 0) {
            return PlatformStore.ABSENT;
        }
        return storeVersion;
    }

    private void watched(Throwable failure) {
        if (failure == null) {
            noteBack();
            watch();
            return;
        }
        noteDown(failure);
        timers.after(retryDelay(), this::readAndWatch);
    }

    /**
     * Reads the head before the next watch.
     *
     * <p>Guards against watches that go silent while other calls work, as on a connection that something between the
     * two ends has lost track of: without the read the watcher would learn of nothing, watch after watch.
     */
    private void readAndWatch() {
        read().thenAcceptAsync(
                        outcome -> {
                            if (outcome != ReadOutcome.FAILED) {
                                watch();
                            } else {
                                failures++;
                                timers.after(retryDelay(), this::readAndWatch);
                            }
                        },
                        control);
    }

    private void noteDown(Throwable failure) {
        if (failures++ == 0) {
            String cause = Throwables.getRootCause(failure).getMessage();
            events.record(EventKind.STORE_DOWN, "configuration", String.valueOf(cause));
            log.atWarning().log(
                    "the platform store can't be read; version %d stays in force: %s",
                    keeper.current().version(), cause);
        }
    }

    private void noteBack() {
        if (failures > 0) {
            events.record(EventKind.STORE_BACK, "configuration", "after " + failures + " failed watches");
            failures = 0;
        }
    }

    private Duration retryDelay() {
        long nanos = FIRST_RETRY.toNanos() << Math.min(failures - 1, MAX_DOUBLINGS);
        long most = Math.min(nanos, LAST_RETRY.toNanos());
        return Duration.ofNanos(most / 2 + random.nextLong(most / 2));
    }

    private CompletableFuture<Void> take(Optional<StoredValue> stored, long inForceBefore) {
        return ConfigurationStore.decodeHead(stored)
                .thenCompose(head -> head.map(found -> take(found, inForceBefore))
                        .orElseGet(() -> CompletableFuture.completedFuture(null)));
    }

    private CompletableFuture<Void> take(StoredHead head, long inForceBefore) {
        Configuration current = keeper.current();
        noteIfLost(head.version(), inForceBefore);
        if (head.version() <= current.version()) {
            storeVersion = head.storeVersion();
            return CompletableFuture.completedFuture(null);
        }
        return reader.load(head, current).thenAcceptAsync(whole -> inForce(head, whole), control);
    }

    private void noteIfLost(long stored, long inForceBefore) {
        if (stored < inForceBefore && !lossNoted) {
            lossNoted = true;
            log.atSevere().log(
                    "the platform store lost accepted changes: it holds version %d, this node %d;"
                            + " give it back with restore configuration",
                    stored, inForceBefore);
        }
    }

    private void inForce(StoredHead head, DocumentCodec.Whole whole) {
        keeper.take(whole.configuration(), whole.recent());
        storeVersion = head.storeVersion();
        lossNoted = false;
    }
}
