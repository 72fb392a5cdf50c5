package io.beryldock.command;

import com.google.common.collect.ImmutableSortedSet;
import io.beryldock.call.DataCentre;
import io.beryldock.time.TimerService;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Finds out in which data centres an accepted change is in force, by asking a few nodes of each until all have it.
 *
 * <p>Thread safe, never blocks. A data centre counts once every node of it that answered has the version and at least
 * one did; the nodes are picked anew each time.
 */
final class InForceWatcher {

    /** How long an accepted change may take to be in force everywhere. */
    static final Duration BUDGET = Duration.ofSeconds(13);

    static final Duration FIRST_PAUSE = Duration.ofMillis(100);
    static final int NODES_PER_DATA_CENTRE = 3;

    private final QueryGatherer gatherer;
    private final TimerService timer;

    private InForceWatcher(QueryGatherer gatherer, TimerService timer) {
        this.gatherer = gatherer;
        this.timer = timer;
    }

    static InForceWatcher create(QueryGatherer gatherer, TimerService timer) {
        return new InForceWatcher(gatherer, timer);
    }

    /** Completes an accepted report with the data centres; any other report stays as it is. */
    CompletableFuture<ChangeReport> await(ChangeReport report) {
        if (!(report instanceof ChangeReport.Accepted accepted)) {
            return CompletableFuture.completedFuture(report);
        }
        return look(accepted, timer.ticker().nanos() + BUDGET.toNanos(), FIRST_PAUSE);
    }

    private CompletableFuture<ChangeReport> look(ChangeReport.Accepted accepted, long deadline, Duration pause) {
        return gatherer.sampleVersions(NODES_PER_DATA_CENTRE).thenCompose(result -> {
            ImmutableSortedSet<DataCentre> inForce = inForce(result, accepted.version());
            boolean everywhere = inForce.containsAll(gatherer.dataCentres());
            if (everywhere || timer.ticker().nanos() + pause.toNanos() >= deadline) {
                return CompletableFuture.completedFuture(accepted.withInForce(inForce, missing(inForce)));
            }
            return pause(pause).thenCompose(nothing -> look(accepted, deadline, pause.multipliedBy(2)));
        });
    }

    private CompletableFuture<Void> pause(Duration length) {
        CompletableFuture<Void> over = new CompletableFuture<>();
        timer.after(length, () -> over.complete(null));
        return over;
    }

    private ImmutableSortedSet<DataCentre> missing(ImmutableSortedSet<DataCentre> inForce) {
        return gatherer.dataCentres().stream()
                .filter(dataCentre -> !inForce.contains(dataCentre))
                .collect(ImmutableSortedSet.toImmutableSortedSet(DataCentre::compareTo));
    }

    private static ImmutableSortedSet<DataCentre> inForce(QueryResult result, long version) {
        ImmutableSortedSet<DataCentre> behind = dataCentres(result, version, false);
        return dataCentres(result, version, true).stream()
                .filter(dataCentre -> !behind.contains(dataCentre))
                .collect(ImmutableSortedSet.toImmutableSortedSet(DataCentre::compareTo));
    }

    private static ImmutableSortedSet<DataCentre> dataCentres(QueryResult result, long version, boolean reached) {
        return result.versions().stream()
                .filter(count -> count.version() >= version == reached)
                .map(VersionCount::dataCentre)
                .collect(ImmutableSortedSet.toImmutableSortedSet(DataCentre::compareTo));
    }
}
