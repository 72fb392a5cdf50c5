package io.beryldock.admission;

import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSampler;
import io.beryldock.timeline.EventSink;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

/**
 * Sheds requests at their entry, before any work is spent, by the worst level that answers reported along the graph
 * beneath a service.
 *
 * <p>Invariants: a service of which nothing was reported for {@link RouteLevel#OPEN_AFTER_NANOS} is open; memory is
 * held only for services that do not admit all. Thread safe; deciding takes no lock.
 */
public final class DoorShedder {

    private final Ticker ticker;
    private final RandomGenerator random;
    private final EventSink events;
    private final EventSampler sheds;
    private final Map<ServiceName, RouteLevel> closed = new ConcurrentHashMap<>();

    private DoorShedder(Ticker ticker, RandomGenerator random, EventSink events) {
        this.ticker = ticker;
        this.random = random;
        this.events = events;
        this.sheds = new EventSampler(events, EventKind.SHED_AT_DOOR);
    }

    /** The generator must be thread safe. */
    public static DoorShedder create(Ticker ticker, RandomGenerator random, EventSink events) {
        return new DoorShedder(ticker, random, events);
    }

    /** Learns from the end of a caller's request of this rank the levels of its service and of those beneath it. */
    public void observe(ServiceName service, int rank, List<ServiceLevel> levels) {
        RouteLevel known = closed.get(service);
        if (known == null && allOpen(levels)) {
            return;
        }
        RouteLevel route = known != null ? known : closed.computeIfAbsent(service, RouteLevel::new);
        boolean wasOpen = route.open(rank);
        route.observe(rank, levels, ticker.nanos());
        if (wasOpen && !route.open(rank)) {
            recordChange(service, "rank " + rank + ": the entry sheds: " + route.closed(rank, ticker.nanos()));
        } else if (route.settledOpen()) {
            forget(service, route);
        }
    }

    private void forget(ServiceName service, RouteLevel route) {
        if (closed.remove(service, route)) {
            recordChange(service, "the entry admits all");
        }
    }

    private void recordChange(ServiceName service, String change) {
        events.record(EventKind.LEVEL_CHANGED, service.value(), change);
    }

    /** Whether a request of this rank and caller to the service may start. */
    public DoorDecision decide(ServiceName service, int rank, int callerHash) {
        RouteLevel route = closed.get(service);
        if (route == null || route.open(rank)) {
            return DoorDecision.admit();
        }
        long now = ticker.nanos();
        int level = route.level(rank, now);
        if (level >= ServiceLevel.OPEN || CallerHash.position(rank, callerHash) < level || route.takeProbe(rank, now)) {
            return DoorDecision.admit();
        }
        if (sheds.take(now)) {
            sheds.record(Optional.empty(), service.value(), "rank " + rank + " at level " + level);
        }
        return DoorDecision.shed(RetryAfter.millis(random));
    }

    /** The lowest level that holds for a rank of the service at this entry, for operators. */
    public int level(ServiceName service) {
        RouteLevel route = closed.get(service);
        return route == null ? ServiceLevel.OPEN : route.lowestLevel(ticker.nanos());
    }

    private static boolean allOpen(List<ServiceLevel> levels) {
        for (ServiceLevel level : levels) {
            if (level.level() < ServiceLevel.OPEN) {
                return false;
            }
        }
        return true;
    }
}
