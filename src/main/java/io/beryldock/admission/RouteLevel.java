package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Levels that an entry node has learned for one service and for the services below it.
 *
 * <p>Levels are learned from the answers to requests of all ranks, but apply to a rank only where its own requests
 * called the service: a search that calls no other service must not be shed for an overload that only the orders of the
 * same service run into, while the answer to an order can show that searches may be admitted again.
 *
 * <p>Ageing: without answers a level holds for {@link #HOLD_NANOS}, then rises linearly, and is open {@link
 * #OPEN_AFTER_NANOS} after the last answer. Probes: an entry node that sheds all its requests gets no answers and would
 * learn of the end of an overload only by ageing, so it admits one request when no answer arrived within the probe
 * interval. The interval doubles while probes bring no change, so that probes remain rare.
 *
 * <p>Invariant: the level of a rank is the lowest among the services that its requests called. Thread safe: updates
 * take a lock, reads take none.
 */
final class RouteLevel {

    static final long HOLD_NANOS = 1_000_000_000L;
    static final long OPEN_AFTER_NANOS = 5_000_000_000L;
    static final long MIN_PROBE_NANOS = 250_000_000L;
    static final long MAX_PROBE_NANOS = 2_000_000_000L;

    private static final int ALL_RANKS = (1 << PriorityClass.RANKS) - 1;

    private final ServiceName root;
    private final Map<ServiceName, ServiceSamples> samplesByService = new HashMap<>();
    private final AtomicLong lastProbe = new AtomicLong(Long.MIN_VALUE);
    private volatile ImmutableList<LearnedLevel> closed = ImmutableList.of();
    private volatile long probeInterval = MIN_PROBE_NANOS;

    RouteLevel(ServiceName root) {
        this.root = root;
    }

    /** Samples of one service and the ranks that they apply to. Guarded by the lock of the route. */
    private static final class ServiceSamples {
        private final LevelSamples samples;
        private int ranks;

        ServiceSamples(int ranks, long now) {
            this.ranks = ranks;
            this.samples = LevelSamples.initiallyOpen(now);
        }
    }

    /**
     * Level of a service that does not admit all requests.
     *
     * @param ranks bit mask of the ranks that the level applies to
     * @param at time of the last answer that reported the service
     */
    private record LearnedLevel(ServiceName service, int ranks, int level, long at) {

        boolean holdsFor(int rank) {
            return (ranks & bit(rank)) != 0;
        }

        int levelAt(long now) {
            return aged(level, now - at);
        }
    }

    private static int bit(int rank) {
        return 1 << rank;
    }

    /** Records the levels that came with the end of a request of this rank. */
    synchronized void observe(int rank, List<ServiceLevel> reported, long now) {
        for (ServiceLevel level : reported) {
            ServiceSamples service = samplesByService.computeIfAbsent(level.service(), name -> newSamples(name, now));
            service.ranks |= bit(rank);
            service.samples.add(level.level(), now);
        }
        publish(now);
    }

    /** The level of the root service itself applies to all ranks. */
    private ServiceSamples newSamples(ServiceName service, long now) {
        return new ServiceSamples(service.equals(root) ? ALL_RANKS : 0, now);
    }

    private void publish(long now) {
        ImmutableList.Builder<LearnedLevel> builder = ImmutableList.builder();
        samplesByService.forEach((service, observed) -> {
            int level = observed.samples.median(now);
            if (level < ServiceLevel.OPEN) {
                builder.add(new LearnedLevel(service, observed.ranks, level, observed.samples.lastAt()));
            }
        });
        ImmutableList<LearnedLevel> next = builder.build();
        if (lowest(next) > lowest(closed) + ServiceLevel.STEPS) {
            probeInterval = MIN_PROBE_NANOS;
        }
        closed = next;
    }

    private static int lowest(List<LearnedLevel> closed) {
        int lowest = ServiceLevel.OPEN;
        for (LearnedLevel learned : closed) {
            lowest = Math.min(lowest, learned.level());
        }
        return lowest;
    }

    boolean open(int rank) {
        for (LearnedLevel learned : closed) {
            if (learned.holdsFor(rank)) {
                return false;
            }
        }
        return true;
    }

    /** Whether all samples are open, so that no state needs to be kept. */
    synchronized boolean allSamplesOpen() {
        return samplesByService.values().stream().allMatch(observed -> observed.samples.allOpen());
    }

    int level(int rank, long now) {
        int level = ServiceLevel.OPEN;
        for (LearnedLevel learned : closed) {
            if (learned.holdsFor(rank)) {
                level = Math.min(level, learned.levelAt(now));
            }
        }
        return level;
    }

    /** Returns the lowest level that applies to any rank. */
    int lowestLevel(long now) {
        int level = ServiceLevel.OPEN;
        for (LearnedLevel learned : closed) {
            level = Math.min(level, learned.levelAt(now));
        }
        return level;
    }

    /** Returns the services that do not admit all requests and that the rank called, with their current levels. */
    ImmutableList<ServiceLevel> closed(int rank, long now) {
        return closed.stream()
                .filter(learned -> learned.holdsFor(rank))
                .map(learned -> new ServiceLevel(learned.service(), learned.levelAt(now)))
                .filter(level -> level.level() < ServiceLevel.OPEN)
                .collect(ImmutableList.toImmutableList());
    }

    /** Whether to admit a request of the rank as a probe although the level sheds it. */
    boolean takeProbe(int rank, long now) {
        long interval = probeInterval;
        long last = lastProbe.get();
        boolean due = now - lastReportAt(rank) >= interval && (last == Long.MIN_VALUE || now - last >= interval);
        if (!due || !lastProbe.compareAndSet(last, now)) {
            return false;
        }
        probeInterval = Math.min(MAX_PROBE_NANOS, 2 * interval);
        return true;
    }

    private long lastReportAt(int rank) {
        return closed.stream()
                .filter(learned -> learned.holdsFor(rank))
                .mapToLong(LearnedLevel::at)
                .max()
                .orElse(0);
    }

    private static int aged(int level, long age) {
        if (age <= HOLD_NANOS) {
            return level;
        }
        double share = (double) (age - HOLD_NANOS) / (OPEN_AFTER_NANOS - HOLD_NANOS);
        return (int) Math.min(ServiceLevel.OPEN, level + share * ServiceLevel.OPEN);
    }
}
