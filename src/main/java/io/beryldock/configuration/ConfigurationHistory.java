package io.beryldock.configuration;

import com.google.common.collect.ImmutableList;
import io.beryldock.store.PlatformStore;
import io.beryldock.time.TimerService;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The accepted changes, with who made them and when: the last {@link ChangeLog#MAX_RECORDS} from this node's memory,
 * earlier ones from the store.
 *
 * <p>Immutable, thread safe. With the store down the answer is what this node remembers.
 */
public final class ConfigurationHistory {

    /** The most changes that one question reads from the store. */
    public static final int MOST = 1024;

    private final ConfigurationStore reader;
    private final ConfigurationKeeper keeper;

    private ConfigurationHistory(ConfigurationStore reader, ConfigurationKeeper keeper) {
        this.reader = reader;
        this.keeper = keeper;
    }

    public static ConfigurationHistory create(PlatformStore store, TimerService timers, ConfigurationKeeper keeper) {
        return new ConfigurationHistory(ConfigurationStore.of(TimedStore.of(store, timers)), keeper);
    }

    /** The last changes, oldest first, at most so many and at most {@link #MOST}. */
    public CompletableFuture<ImmutableList<ChangeRecord>> last(int count) {
        int wanted = Math.min(count, MOST);
        ImmutableList<ChangeRecord> known = keeper.changes();
        boolean enough = known.size() >= Math.min(wanted, keeper.current().version());
        if (enough) {
            return CompletableFuture.completedFuture(tail(known, wanted));
        }
        return reader.readHead()
                .thenCompose(head -> head.map(found -> read(found, wanted))
                        .orElseGet(() -> CompletableFuture.completedFuture(known)))
                .exceptionally(failure -> tail(known, wanted));
    }

    private CompletableFuture<ImmutableList<ChangeRecord>> read(StoredHead head, int count) {
        long after = Math.max(0, head.version() - count);
        return reader.changes(head, after).exceptionally(failure -> tail(head.records(), count));
    }

    /** The change of that id, if it is among the last {@link #MOST} accepted: settles what was told to be unknown. */
    public CompletableFuture<Optional<ChangeRecord>> find(String changeId) {
        Optional<ChangeRecord> known = named(changeId, keeper.changes());
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(known);
        }
        return reader.readHead()
                .thenCompose(head -> head.map(found -> read(found, MOST))
                        .orElseGet(() -> CompletableFuture.completedFuture(ImmutableList.of())))
                .thenApply(changes -> named(changeId, changes));
    }

    private static Optional<ChangeRecord> named(String changeId, List<ChangeRecord> changes) {
        return changes.stream()
                .filter(change -> change.changeId().equals(changeId))
                .findFirst();
    }

    private static ImmutableList<ChangeRecord> tail(ImmutableList<ChangeRecord> changes, int count) {
        return changes.subList(Math.max(0, changes.size() - count), changes.size());
    }
}
