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
 * Sheds requests at their entry node, before any work is done for them, by the lowest level that answers reported from
 * the call graph below a service.
 *
 * <p>Invariants: a service for which nothing was reported within {@link RouteLevel#OPEN_AFTER_NANOS} is open; memory is
 * held only for services that do not admit all requests. Thread safe; decisions take no lock.
 */
public final class EntryShedder {

    private final Ticker ticker;
    private final RandomGenerator random;
    private final EventSink events;
    private final EventSampler shedSampler;
    private final Map<ServiceName, RouteLevel> closed = new ConcurrentHashMap<>();

    private EntryShedder(Ticker ticker, RandomGenerator random, EventSink events) {
        this.ticker = ticker;
        this.random = random;
        this.events = events;
        this.shedSampler = new EventSampler(events, EventKind.SHED_AT_DOOR);
    }

    /** Creates a shedder that admits all requests at first; the generator must be thread safe. */
    public static EntryShedder create(Ticker ticker, RandomGenerator random, EventSink events) {
        return new EntryShedder(ticker, random, events);
    }

    /**
     * Records the levels of a service and of the services below it, as reported at the end of a root request of this
     * rank.
     */
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
        } else if (route.allSamplesOpen()) {
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

    /** Decides whether a request of this rank and caller to the service may start. */
    public ShedDecision decide(ServiceName service, int rank, int callerHash) {
        RouteLevel route = closed.get(service);
        if (route == null || route.open(rank)) {
            return ShedDecision.admit();
        }
        long now = ticker.nanos();
        int level = route.level(rank, now);
        if (level >= ServiceLevel.OPEN || CallerHash.position(rank, callerHash) < level || route.takeProbe(rank, now)) {
            return ShedDecision.admit();
        }
        if (shedSampler.shouldRecord(now)) {
            shedSampler.record(Optional.empty(), service.value(), "rank " + rank + " at level " + level);
        }
        return ShedDecision.shed(RetryAfter.millis(random));
    }

    /** Returns the lowest level that applies to any rank of the service at this entry node, for operators. */
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
