package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.Call;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

/**
 * Sheds requests at their entry, before any work is spent, by the worst level that answers reported along the graph
 * beneath a service.
 *
 * <p>What a service reports lies beneath it are the services that it was seen to call, not those that outside callers
 * reach through the same node: else an overloaded service would shed the pages of one that never calls it.
 *
 * <p>Invariants: a service of which nothing was reported for {@link RouteLevel#OPEN_AFTER_NANOS} is open; memory is
 * held only for services that do not admit all. Thread safe; deciding takes no lock.
 */
public final class DoorShedder {

    static final int MAX_REPORTED = 8;
    private static final Comparator<ServiceLevel> WORST_FIRST =
            Comparator.comparingInt(ServiceLevel::level).thenComparing(ServiceLevel::service);

    private final Ticker ticker;
    private final RandomGenerator random;
    private final EventSink events;
    private final EventSampler sheds;
    private final Map<ServiceName, RouteLevel> closed = new ConcurrentHashMap<>();
    private final Map<ServiceName, Map<ServiceName, RouteLevel>> closedByCaller = new ConcurrentHashMap<>();

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

    /** Learns from an answer to an outside caller. */
    public void observe(ServiceName service, List<ServiceLevel> levels) {
        observe(Call.OUTSIDE, service, levels);
    }

    /** Learns from an answer or a refusal of the service the levels of itself and of those beneath it. */
    public void observe(ServiceName caller, ServiceName service, List<ServiceLevel> levels) {
        RouteLevel known = closed.get(service);
        if (known == null && allOpen(levels)) {
            return;
        }
        RouteLevel route = known != null ? known : closed.computeIfAbsent(service, missing -> new RouteLevel());
        beneath(caller).put(service, route);
        boolean wasOpen = route.open();
        route.observe(levels, ticker.nanos());
        if (wasOpen && !route.open()) {
            events.record(EventKind.LEVEL_CHANGED, service.value(), "the entry sheds: " + route.closed(ticker.nanos()));
        } else if (route.settledOpen()) {
            forget(service, route);
        }
    }

    private void forget(ServiceName service, RouteLevel route) {
        if (closed.remove(service, route)) {
            closedByCaller.values().forEach(services -> services.remove(service, route));
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

    /**
     * Whether a request that has reached the service may go on, by what the service's own inner calls learned.
     *
     * <p>An entry with few requests to a service learns late; the service's nodes see all its inner calls and know
     * first. A request refused here has cost a hop and no target's time.
     */
    public DoorDecision decideBeneath(ServiceName service, int rank, int callerHash) {
        if (closed.isEmpty()) {
            return DoorDecision.admit();
        }
        for (ServiceName called : beneath(service).keySet()) {
            DoorDecision decision = decide(called, rank, callerHash);
            if (!decision.admitted()) {
                return decision;
            }
        }
        return DoorDecision.admit();
    }

    /** What an answering node reports: its service's own level and the worst of those learned beneath it. */
    public ImmutableList<ServiceLevel> reportFor(ServiceName service, int ownLevel) {
        ServiceLevel own = new ServiceLevel(service, ownLevel);
        if (closed.isEmpty()) {
            return ImmutableList.of(own);
        }
        return ImmutableList.<ServiceLevel>builder()
                .add(own)
                .addAll(worstBeneath(service, ticker.nanos()))
                .build();
    }

    private List<ServiceLevel> worstBeneath(ServiceName service, long now) {
        List<ServiceLevel> worst = new ArrayList<>();
        for (RouteLevel route : beneath(service).values()) {
            for (ServiceLevel level : route.closed(now)) {
                if (!level.service().equals(service)) {
                    worst.add(passedOn(level));
                }
            }
        }
        worst.sort(WORST_FIRST);
        return firstOfEach(worst);
    }

    /** The worst level of each service, as many as a report holds beside the service's own. */
    private static List<ServiceLevel> firstOfEach(List<ServiceLevel> sorted) {
        List<ServiceLevel> first = new ArrayList<>(MAX_REPORTED);
        for (ServiceLevel level : sorted) {
            if (first.size() < MAX_REPORTED - 1 && !names(first, level.service())) {
                first.add(level);
            }
        }
        return first;
    }

    private static boolean names(List<ServiceLevel> levels, ServiceName service) {
        for (ServiceLevel level : levels) {
            if (level.service().equals(service)) {
                return true;
            }
        }
        return false;
    }

    private Map<ServiceName, RouteLevel> beneath(ServiceName caller) {
        return closedByCaller.computeIfAbsent(caller, unknown -> new ConcurrentHashMap<>());
    }

    /**
     * A level on its way up, one step higher.
     *
     * <p>Where services call each other in a circle each would report the other's old report, and an overload that is
     * over would be told for ever. With the step such an echo rises until it is open.
     */
    private static ServiceLevel passedOn(ServiceLevel level) {
        return new ServiceLevel(level.service(), Math.min(ServiceLevel.OPEN, level.level() + 1));
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
