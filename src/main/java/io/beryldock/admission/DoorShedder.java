package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

/**
 * Sheds requests at their entry, before any work is spent, by the worst level that answers reported along the graph
 * beneath a service.
 *
 * <p>Thread safe; deciding takes no lock.
 */
public final class DoorShedder {

    static final int MAX_REPORTED = 8;
    private static final long FRESH_NANOS = 250_000_000L;
    private static final long OPEN_AFTER_NANOS = 2_000_000_000L;
    private static final int RETRY_AFTER_MIN_MILLIS = 500;
    private static final int RETRY_AFTER_SPREAD_MILLIS = 1_500;

    private final Ticker ticker;
    private final RandomGenerator random;
    private final EventSink events;
    private final Map<ServiceName, Learned> byService = new ConcurrentHashMap<>();

    private DoorShedder(Ticker ticker, RandomGenerator random, EventSink events) {
        this.ticker = ticker;
        this.random = random;
        this.events = events;
    }

    public static DoorShedder create(Ticker ticker, RandomGenerator random, EventSink events) {
        return new DoorShedder(ticker, random, events);
    }

    /** Learns from an answer of the service the levels of itself and of those beneath it. */
    public void observe(ServiceName service, List<ServiceLevel> levels) {
        byService.put(service, new Learned(ImmutableList.copyOf(levels), ticker.nanos()));
    }

    /** Whether a request of this rank and caller to the service may start. */
    public DoorDecision decide(ServiceName service, int rank, int callerHash) {
        int level = level(service);
        if (level >= ServiceLevel.OPEN || CallerHash.position(rank, callerHash) < level) {
            return DoorDecision.admit();
        }
        events.record(EventKind.SHED_AT_DOOR, service.value(), "rank " + rank + " at level " + level);
        return DoorDecision.shed((long) RETRY_AFTER_MIN_MILLIS + random.nextInt(RETRY_AFTER_SPREAD_MILLIS));
    }

    /** The level that holds for the service at this entry. */
    public int level(ServiceName service) {
        Learned learned = byService.get(service);
        return learned == null ? ServiceLevel.OPEN : learned.worst(ticker.nanos());
    }

    /** What an answering node reports: its service's own level and the worst of those learned beneath it. */
    public ImmutableList<ServiceLevel> reportFor(ServiceName service, int ownLevel) {
        ImmutableList.Builder<ServiceLevel> report = ImmutableList.builder();
        report.add(new ServiceLevel(service, ownLevel));
        byService.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(service))
                .flatMap(entry -> entry.getValue().levels().stream())
                .filter(level ->
                        level.level() < ServiceLevel.OPEN && !level.service().equals(service))
                .sorted(Comparator.comparingInt(ServiceLevel::level))
                .limit(MAX_REPORTED - 1)
                .forEach(report::add);
        return report.build();
    }

    private record Learned(ImmutableList<ServiceLevel> levels, long at) {

        int worst(long now) {
            int worst = ServiceLevel.OPEN;
            for (ServiceLevel level : levels) {
                worst = Math.min(worst, level.level());
            }
            long stale = now - at - FRESH_NANOS;
            if (stale <= 0) {
                return worst;
            }
            long raised = worst + (long) ServiceLevel.OPEN * stale / (OPEN_AFTER_NANOS - FRESH_NANOS);
            return (int) Math.min(ServiceLevel.OPEN, raised);
        }
    }
}
