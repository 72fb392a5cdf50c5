package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import io.beryldock.store.PlatformStore;
import io.beryldock.time.TimerService;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The history of accepted changes, with operator and time: the last {@link ChangeLog#MAX_RECORDS} changes from this
 * node's memory, earlier changes from the store.
 *
 * <p>Immutable, thread safe. While the store is down, only the changes in memory are returned.
 */
public final class ConfigurationHistory {

    /** Maximum number of changes that one query reads from the store. */
    public static final int MAX_CHANGES = 1024;

    private final ConfigurationStore reader;
    private final ActiveConfiguration activeConfiguration;

    private ConfigurationHistory(ConfigurationStore reader, ActiveConfiguration activeConfiguration) {
        this.reader = reader;
        this.activeConfiguration = activeConfiguration;
    }

    public static ConfigurationHistory create(
            PlatformStore store, TimerService timers, ActiveConfiguration activeConfiguration) {
        return new ConfigurationHistory(ConfigurationStore.of(TimedStore.of(store, timers)), activeConfiguration);
    }

    /** Returns the last {@code count} changes, but at most {@link #MAX_CHANGES}, oldest first. */
    public CompletableFuture<ImmutableList<ChangeRecord>> last(int count) {
        int limit = Math.min(count, MAX_CHANGES);
        ImmutableList<ChangeRecord> known = activeConfiguration.changes();
        boolean enough =
                known.size() >= Math.min(limit, activeConfiguration.current().version());
        if (enough) {
            return CompletableFuture.completedFuture(tail(known, limit));
        }
        return reader.readHead()
                .thenCompose(head ->
                        head.map(found -> read(found, limit)).orElseGet(() -> CompletableFuture.completedFuture(known)))
                .exceptionally(failure -> tail(known, limit));
    }

    private CompletableFuture<ImmutableList<ChangeRecord>> read(StoredHead head, int count) {
        long after = Math.max(0, head.version() - count);
        return reader.changes(head, after).exceptionally(failure -> tail(head.records(), count));
    }

    /**
     * Returns the change with the id if it is among the last {@link #MAX_CHANGES} accepted changes; this shows whether
     * a change with an unknown outcome was accepted.
     */
    public CompletableFuture<Optional<ChangeRecord>> find(String changeId) {
        Optional<ChangeRecord> known = findById(changeId, activeConfiguration.changes());
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(known);
        }
        return reader.readHead()
                .thenCompose(head -> head.map(found -> read(found, MAX_CHANGES))
                        .orElseGet(() -> CompletableFuture.completedFuture(ImmutableList.of())))
                .thenApply(changes -> findById(changeId, changes));
    }

    private static Optional<ChangeRecord> findById(String changeId, List<ChangeRecord> changes) {
        return changes.stream()
                .filter(change -> change.changeId().equals(changeId))
                .findFirst();
    }

    private static ImmutableList<ChangeRecord> tail(ImmutableList<ChangeRecord> changes, int count) {
        return changes.subList(Math.max(0, changes.size() - count), changes.size());
    }
}
