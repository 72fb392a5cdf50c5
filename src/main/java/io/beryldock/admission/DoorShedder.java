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
 * <p>What a service reports lies beneath it are the services that it was seen to call for requests of the same rank, not
 * those that outside callers reach through the same node: else an overloaded service would shed the pages of one that
 * never calls it.
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
    private final Map<ServiceClass, Map<ServiceName, RouteLevel>> closedByCaller = new ConcurrentHashMap<>();

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

    /** Learns from an answer to an outside caller's request of this rank. */
    public void observe(ServiceName service, int rank, List<ServiceLevel> levels) {
        observe(Call.OUTSIDE, service, rank, levels);
    }

    /** Learns from an answer or a refusal of the service the levels of itself and of those beneath it. */
    public void observe(ServiceName caller, ServiceName service, int rank, List<ServiceLevel> levels) {
        RouteLevel known = closed.get(service);
        if (known == null && allOpen(levels)) {
            return;
        }
        RouteLevel route = known != null ? known : closed.computeIfAbsent(service, RouteLevel::new);
        beneath(new ServiceClass(caller, rank)).put(service, route);
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
            closedByCaller.values().forEach(services -> services.remove(service, route));
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
        for (ServiceName called : beneath(new ServiceClass(service, rank)).keySet()) {
            DoorDecision decision = decide(called, rank, callerHash);
            if (!decision.admitted()) {
                return decision;
            }
        }
        return DoorDecision.admit();
    }

    /** What a node reports with an answer: its service's own level and the worst that this rank met beneath it. */
    public ImmutableList<ServiceLevel> reportFor(ServiceName service, int rank, int ownLevel) {
        ServiceLevel own = new ServiceLevel(service, ownLevel);
        if (closed.isEmpty()) {
            return ImmutableList.of(own);
        }
        return ImmutableList.<ServiceLevel>builder()
                .add(own)
                .addAll(worstBeneath(new ServiceClass(service, rank), ticker.nanos()))
                .build();
    }

    private List<ServiceLevel> worstBeneath(ServiceClass caller, long now) {
        List<ServiceLevel> worst = new ArrayList<>();
        for (RouteLevel route : beneath(caller).values()) {
            for (ServiceLevel level : route.closed(caller.rank(), now)) {
                if (!level.service().equals(caller.service())) {
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

    private Map<ServiceName, RouteLevel> beneath(ServiceClass caller) {
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
