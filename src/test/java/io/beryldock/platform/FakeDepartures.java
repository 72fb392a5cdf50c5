package io.beryldock.platform;

import com.google.common.collect.ImmutableList;
import io.beryldock.membership.DepartedStart;
import io.beryldock.membership.TargetDepartures;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Departures in memory, which outlive the targets that record them. Not thread safe. */
final class FakeDepartures implements TargetDepartures {

    private final Set<DepartedStart> starts = new LinkedHashSet<>();
    private final List<Consumer<ImmutableList<DepartedStart>>> readers = new ArrayList<>();
    private CompletableFuture<Void> stored = CompletableFuture.completedFuture(null);

    ImmutableList<DepartedStart> starts() {
        return ImmutableList.copyOf(starts);
    }

    /** Departures are not stored before {@link #store}. */
    void delayStorage() {
        stored = new CompletableFuture<>();
    }

    void store() {
        stored.complete(null);
    }

    /** Passes the departures to the readers that wait. */
    void recall() {
        recall(ImmutableList.copyOf(starts));
    }

    /** Passes departures to the readers that wait, as they were before some were added. */
    void recall(ImmutableList<DepartedStart> found) {
        List.copyOf(readers).forEach(reader -> reader.accept(found));
        readers.clear();
    }

    /** Removes the readers of a process that has ended. */
    void forgetReaders() {
        readers.clear();
    }

    @Override
    public CompletableFuture<Void> add(DepartedStart start) {
        starts.add(start);
        return stored;
    }

    @Override
    public void readEarlier(Consumer<ImmutableList<DepartedStart>> reader) {
        readers.add(reader);
    }
}
