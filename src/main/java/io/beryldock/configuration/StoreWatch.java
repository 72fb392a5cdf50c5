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
 * Reads the head from the store, and watches it while this node is one of the watchers of its data centre.
 *
 * <p>Confined to the control thread. Each watch waits for up to {@link #WAIT} and counts as one store call. The wait is
 * short, so that a watch on a connection that no longer delivers packets keeps a watcher from seeing changes for a few
 * seconds only.
 */
final class StoreWatch {

    static final Duration WAIT = Duration.ofSeconds(5);

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private static final Duration FIRST_RETRY = Duration.ofMillis(500);
    private static final Duration LAST_RETRY = Duration.ofSeconds(4);
    private static final int MAX_DOUBLINGS = 3;
    /** One in this many watches returns the stored head whatever its version. */
    private static final int UNCONDITIONAL_EVERY = 6;

    private final PlatformStore store;
    private final ConfigurationStore reader;
    private final ActiveConfiguration activeConfiguration;
    private final TimerService timers;
    private final Executor control;
    private final RandomGenerator random;
    private final EventSink events;

    private boolean enabled;
    private boolean running;
    private long storeVersion = PlatformStore.ABSENT;
    private int failures;
    private int watches;
    private boolean lossLogged;

    private StoreWatch(PlatformStore store, ActiveConfiguration activeConfiguration, ConfigurationSync.Ports ports) {
        this.store = store;
        this.reader = ConfigurationStore.of(store);
        this.activeConfiguration = activeConfiguration;
        this.timers = ports.timers();
        this.control = ports.control();
        this.random = ports.random();
        this.events = ports.events();
    }

    static StoreWatch create(ActiveConfiguration activeConfiguration, ConfigurationSync.Ports ports) {
        return new StoreWatch(TimedStore.of(ports.store(), ports.timers()), activeConfiguration, ports);
    }

    /** Sets whether this node is a watcher; a watch under way ends on its own. */
    void setWatching(boolean watching) {
        enabled = watching;
        if (enabled && !running) {
            running = true;
            watch();
        }
    }

    /** The outcome of reading the head. */
    enum ReadOutcome {
        /** The stored configuration, or a higher version, is in force at this node. */
        ADOPTED,
        /** The store answered that it holds no configuration. */
        EMPTY,
        FAILED
    }

    /** Reads the head once, outside the sequence of watches. */
    CompletableFuture<ReadOutcome> read() {
        long inForceBefore = activeConfiguration.current().version();
        return store.get(StoreKeys.HEAD)
                .thenComposeAsync(stored -> adoptStored(stored, inForceBefore), control)
                .handleAsync((outcome, failure) -> failure == null ? outcome : ReadOutcome.FAILED, control);
    }

    private CompletableFuture<ReadOutcome> adoptStored(Optional<StoredValue> stored, long inForceBefore) {
        if (stored.isEmpty()) {
            storeVersion = PlatformStore.ABSENT;
            logIfChangesLost(Configuration.DEFAULTS_VERSION, inForceBefore);
            return CompletableFuture.completedFuture(ReadOutcome.EMPTY);
        }
        return adoptHead(stored, inForceBefore).thenApply(ignored -> ReadOutcome.ADOPTED);
    }

    private void watch() {
        if (!enabled) {
            running = false;
            return;
        }
        long inForceBefore = activeConfiguration.current().version();
        store.watch(StoreKeys.HEAD, afterVersion(), WAIT)
                .thenComposeAsync(stored -> adoptHead(stored, inForceBefore), control)
                .whenCompleteAsync((ignored, failure) -> onWatchEnded(failure), control);
    }

    /**
     * Returns the store version after which the next watch waits for a change.
     *
     * <p>Guards against a store that was reset to an older state: its versions restart below the last one seen, and a
     * watcher that waits for a higher version would wait forever. Therefore one in {@link #UNCONDITIONAL_EVERY} watches
     * accepts any version.
     */
    private long afterVersion() {
        watches++;
        if (watches % UNCONDITIONAL_EVERY == 0) {
            return PlatformStore.ABSENT;
        }
        return storeVersion;
    }

    private void onWatchEnded(Throwable failure) {
        if (failure == null) {
            recordStoreBack();
            watch();
            return;
        }
        recordStoreDown(failure);
        timers.after(retryDelay(), this::readAndWatch);
    }

    /**
     * Reads the head before the next watch.
     *
     * <p>Guards against watches that never return while other calls work, for example on a connection whose state a
     * middlebox has lost: without the read, the watcher would never see a change.
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

    private void recordStoreDown(Throwable failure) {
        if (failures++ == 0) {
            String cause = Throwables.getRootCause(failure).getMessage();
            events.record(EventKind.STORE_DOWN, "configuration", String.valueOf(cause));
            log.atWarning().log(
                    "platform store cannot be read; configuration version %d stays in force: %s",
                    activeConfiguration.current().version(), cause);
        }
    }

    private void recordStoreBack() {
        if (failures > 0) {
            events.record(EventKind.STORE_BACK, "configuration", "after " + failures + " failed watches");
            failures = 0;
        }
    }

    private Duration retryDelay() {
        long nanos = FIRST_RETRY.toNanos() << Math.min(failures - 1, MAX_DOUBLINGS);
        long maxDelay = Math.min(nanos, LAST_RETRY.toNanos());
        return Duration.ofNanos(maxDelay / 2 + random.nextLong(maxDelay / 2));
    }

    private CompletableFuture<Void> adoptHead(Optional<StoredValue> stored, long inForceBefore) {
        return ConfigurationStore.decodeHead(stored)
                .thenCompose(head -> head.map(found -> adoptHead(found, inForceBefore))
                        .orElseGet(() -> CompletableFuture.completedFuture(null)));
    }

    private CompletableFuture<Void> adoptHead(StoredHead head, long inForceBefore) {
        Configuration current = activeConfiguration.current();
        logIfChangesLost(head.version(), inForceBefore);
        if (head.version() <= current.version()) {
            storeVersion = head.storeVersion();
            return CompletableFuture.completedFuture(null);
        }
        return reader.load(head, current).thenAcceptAsync(document -> onLoaded(head, document), control);
    }

    private void logIfChangesLost(long stored, long inForceBefore) {
        if (stored < inForceBefore && !lossLogged) {
            lossLogged = true;
            log.atSevere().log(
                    "platform store lost accepted changes: it holds version %d, this node holds version %d;"
                            + " write this node's configuration back with 'restore configuration'",
                    stored, inForceBefore);
        }
    }

    private void onLoaded(StoredHead head, DocumentCodec.Document document) {
        activeConfiguration.adopt(document.configuration(), document.recent());
        storeVersion = head.storeVersion();
        lossLogged = false;
    }
}
