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
 * What an entry has learned of one service and of those beneath it.
 *
 * <p>Levels are learned from the answers to requests of all ranks, but hold for a rank only where its own requests met
 * the service: a search that calls nothing must not be shed for an overload that only the orders of the same service
 * run into, while an order's answer tells the entry that a search may come again.
 *
 * <p>Ageing: without answers a level holds for {@link #HOLD_NANOS}, then rises evenly, and is open
 * {@link #OPEN_AFTER_NANOS} after the last answer. Probes: an entry all of whose requests are shed gets no answers and
 * would learn of the end of an overload only by ageing; so when no answer came for the probe interval one request is
 * let through. The interval doubles while probes bring no change, so that probes stay a trickle.
 *
 * <p>Invariant: the level of a rank is the lowest among the services that it met. Thread safe: learning takes a lock,
 * reading none.
 */
final class RouteLevel {

    static final long HOLD_NANOS = 1_000_000_000L;
    static final long OPEN_AFTER_NANOS = 5_000_000_000L;
    static final long MIN_PROBE_NANOS = 250_000_000L;
    static final long MAX_PROBE_NANOS = 2_000_000_000L;

    private static final int ALL_RANKS = (1 << PriorityClass.RANKS) - 1;

    private final ServiceName root;
    private final Map<ServiceName, Known> known = new HashMap<>();
    private final AtomicLong lastProbe = new AtomicLong(Long.MIN_VALUE);
    private volatile ImmutableList<Learned> closed = ImmutableList.of();
    private volatile long probeInterval = MIN_PROBE_NANOS;

    RouteLevel(ServiceName root) {
        this.root = root;
    }

    /** What was told of one service, and for which ranks it holds. Guarded by the lock of the route. */
    private static final class Known {
        private final LevelSamples samples;
        private int ranks;

        Known(int ranks, long now) {
            this.ranks = ranks;
            this.samples = LevelSamples.startingOpen(now);
        }
    }

    /**
     * A service that does not admit all.
     *
     * @param ranks one bit for each rank that the level holds for
     * @param at when the last answer told of it
     */
    private record Learned(ServiceName service, int ranks, int level, long at) {

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

    /** Takes in what came with the end of a request of this rank. */
    synchronized void observe(int rank, List<ServiceLevel> reported, long now) {
        for (ServiceLevel level : reported) {
            Known service = known.computeIfAbsent(level.service(), name -> newKnown(name, now));
            service.ranks |= bit(rank);
            service.samples.add(level.level(), now);
        }
        publish(now);
    }

    /** The level of the root itself holds for all ranks. */
    private Known newKnown(ServiceName service, long now) {
        return new Known(service.equals(root) ? ALL_RANKS : 0, now);
    }

    private void publish(long now) {
        ImmutableList.Builder<Learned> builder = ImmutableList.builder();
        known.forEach((service, told) -> {
            int level = told.samples.middle(now);
            if (level < ServiceLevel.OPEN) {
                builder.add(new Learned(service, told.ranks, level, told.samples.lastAt()));
            }
        });
        ImmutableList<Learned> next = builder.build();
        if (worst(next) > worst(closed) + ServiceLevel.STEPS) {
            probeInterval = MIN_PROBE_NANOS;
        }
        closed = next;
    }

    private static int worst(List<Learned> closed) {
        int worst = ServiceLevel.OPEN;
        for (Learned learned : closed) {
            worst = Math.min(worst, learned.level());
        }
        return worst;
    }

    boolean open(int rank) {
        for (Learned learned : closed) {
            if (learned.holdsFor(rank)) {
                return false;
            }
        }
        return true;
    }

    /** Whether all samples are open, so that nothing needs to be remembered. */
    synchronized boolean settledOpen() {
        return known.values().stream().allMatch(told -> told.samples.allOpen());
    }

    int level(int rank, long now) {
        int level = ServiceLevel.OPEN;
        for (Learned learned : closed) {
            if (learned.holdsFor(rank)) {
                level = Math.min(level, learned.levelAt(now));
            }
        }
        return level;
    }

    /** The lowest level that holds for any rank. */
    int lowestLevel(long now) {
        int level = ServiceLevel.OPEN;
        for (Learned learned : closed) {
            level = Math.min(level, learned.levelAt(now));
        }
        return level;
    }

    /** The services that do not admit all and that the rank met, with their levels of now. */
    ImmutableList<ServiceLevel> closed(int rank, long now) {
        return closed.stream()
                .filter(learned -> learned.holdsFor(rank))
                .map(learned -> new ServiceLevel(learned.service(), learned.levelAt(now)))
                .filter(level -> level.level() < ServiceLevel.OPEN)
                .collect(ImmutableList.toImmutableList());
    }

    /** Whether a request of the rank that the level sheds goes through as a probe. */
    boolean takeProbe(int rank, long now) {
        long interval = probeInterval;
        long last = lastProbe.get();
        boolean due = now - lastToldAt(rank) >= interval && (last == Long.MIN_VALUE || now - last >= interval);
        if (!due || !lastProbe.compareAndSet(last, now)) {
            return false;
        }
        probeInterval = Math.min(MAX_PROBE_NANOS, 2 * interval);
        return true;
    }

    private long lastToldAt(int rank) {
        return closed.stream()
                .filter(learned -> learned.holdsFor(rank))
                .mapToLong(Learned::at)
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
