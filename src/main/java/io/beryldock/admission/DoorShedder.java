package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

/**
 * Sheds requests at their entry, before any work is spent, by the worst level that answers reported along the graph
 * beneath a service.
 *
 * <p>A node has two: one fed by the answers to outside callers, which decides over them, and one fed by the answers to
 * its own target's inner calls, which reports what lies beneath that target. One for both would report services that the
 * target never calls.
 *
 * <p>Invariants: a service of which nothing was reported for {@link RouteLevel#OPEN_AFTER_NANOS} is open; memory is held
 * only for services that do not admit all. Thread safe; deciding takes no lock.
 */
public final class DoorShedder {

    static final int MAX_REPORTED = 8;

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

    /** Learns from an answer or a refusal of the service the levels of itself and of those beneath it. */
    public void observe(ServiceName service, List<ServiceLevel> levels) {
        RouteLevel route = closed.get(service);
        if (route == null && allOpen(levels)) {
            return;
        }
        if (route == null) {
            route = closed.computeIfAbsent(service, missing -> new RouteLevel());
        }
        boolean wasOpen = route.open();
        route.observe(levels, ticker.nanos());
        if (wasOpen && !route.open()) {
            events.record(EventKind.LEVEL_CHANGED, service.value(), "the entry sheds: " + route.closed(ticker.nanos()));
        } else if (route.settledOpen() && closed.remove(service, route)) {
            events.record(EventKind.LEVEL_CHANGED, service.value(), "the entry admits all");
        }
    }

    /** Whether a request of this rank and caller to the service may start. */
    public DoorDecision decide(ServiceName service, int rank, int callerHash) {
        RouteLevel route = closed.get(service);
        if (route == null || route.open()) {
            return DoorDecision.admit();
        }
        long now = ticker.nanos();
        int level = route.level(now);
        if (level >= ServiceLevel.OPEN || CallerHash.position(rank, callerHash) < level || route.takeProbe(now)) {
            return DoorDecision.admit();
        }
        if (sheds.take(now)) {
            sheds.record(Optional.empty(), service.value(), "rank " + rank + " at level " + level);
        }
        return DoorDecision.shed(RetryAfter.millis(random));
    }

    /** The level that holds for the service at this entry. */
    public int level(ServiceName service) {
        RouteLevel route = closed.get(service);
        return route == null ? ServiceLevel.OPEN : route.level(ticker.nanos());
    }

    /** The services beneath this one that do not admit all, as learned at this entry, for operators. */
    public ImmutableList<ServiceLevel> closedBeneath(ServiceName service) {
        RouteLevel route = closed.get(service);
        return route == null ? ImmutableList.of() : route.closed(ticker.nanos());
    }

    /** What an answering node reports: its service's own level and the worst of those learned beneath it. */
    public ImmutableList<ServiceLevel> reportFor(ServiceName service, int ownLevel) {
        ServiceLevel own = new ServiceLevel(service, ownLevel);
        if (closed.isEmpty()) {
            return ImmutableList.of(own);
        }
        long now = ticker.nanos();
        ImmutableList.Builder<ServiceLevel> report =
                ImmutableList.<ServiceLevel>builder().add(own);
        worstBeneath(service, now).forEach(report::add);
        return report.build();
    }

    private List<ServiceLevel> worstBeneath(ServiceName service, long now) {
        Map<ServiceName, ServiceLevel> worst = new HashMap<>();
        for (RouteLevel route : closed.values()) {
            for (ServiceLevel level : route.closed(now)) {
                worst.merge(level.service(), level, DoorShedder::lower);
            }
        }
        worst.remove(service);
        return worst.values().stream()
                .sorted(Comparator.comparingInt(ServiceLevel::level).thenComparing(ServiceLevel::service))
                .limit(MAX_REPORTED - 1)
                .toList();
    }

    private static ServiceLevel lower(ServiceLevel a, ServiceLevel b) {
        return a.level() <= b.level() ? a : b;
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
