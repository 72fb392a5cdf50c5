package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

    private final ServiceName root;
    private final Map<ServiceName, LevelSamples> samples = new HashMap<>();
    private final Set<ServiceClass> met = new HashSet<>();
    private final AtomicLong lastProbe = new AtomicLong(Long.MIN_VALUE);
    private volatile ImmutableList<ImmutableList<Learned>> closedByRank = allOpen();
    private volatile long probeInterval = MIN_PROBE_NANOS;

    RouteLevel(ServiceName root) {
        this.root = root;
    }

    /**
     * What is known of one service that does not admit all.
     *
     * @param at when the last answer told of it
     */
    private record Learned(ServiceName service, int level, long at) {

        int levelAt(long now) {
            return aged(level, now - at);
        }
    }

    private static ImmutableList<ImmutableList<Learned>> allOpen() {
        return ImmutableList.copyOf(Collections.nCopies(PriorityClass.RANKS, ImmutableList.of()));
    }

    /** Takes in what came with the end of a request of this rank. */
    synchronized void observe(int rank, List<ServiceLevel> reported, long now) {
        for (ServiceLevel level : reported) {
            met.add(new ServiceClass(level.service(), rank));
            samples.computeIfAbsent(level.service(), service -> LevelSamples.startingOpen(now))
                    .add(level.level(), now);
        }
        publish(now);
    }

    private void publish(long now) {
        List<Learned> closed = samples.entrySet().stream()
                .map(entry -> learned(entry.getKey(), entry.getValue(), now))
                .filter(learned -> learned.level() < ServiceLevel.OPEN)
                .toList();
        if (worst(closed) > worst(Iterables.concat(closedByRank)) + ServiceLevel.STEPS) {
            probeInterval = MIN_PROBE_NANOS;
        }
        ImmutableList.Builder<ImmutableList<Learned>> byRank = ImmutableList.builder();
        for (int rank = 0; rank < PriorityClass.RANKS; rank++) {
            byRank.add(holdingFor(rank, closed));
        }
        closedByRank = byRank.build();
    }

    private static Learned learned(ServiceName service, LevelSamples samples, long now) {
        return new Learned(service, samples.middle(now), samples.lastAt());
    }

    private ImmutableList<Learned> holdingFor(int rank, List<Learned> closed) {
        return closed.stream()
                .filter(learned ->
                        learned.service().equals(root) || met.contains(new ServiceClass(learned.service(), rank)))
                .collect(ImmutableList.toImmutableList());
    }

    private static int worst(Iterable<Learned> closed) {
        int worst = ServiceLevel.OPEN;
        for (Learned learned : closed) {
            worst = Math.min(worst, learned.level());
        }
        return worst;
    }

    boolean open(int rank) {
        return closedByRank.get(rank).isEmpty();
    }

    /** Whether all samples are open, so that nothing needs to be remembered. */
    synchronized boolean settledOpen() {
        return samples.values().stream().allMatch(LevelSamples::allOpen);
    }

    int level(int rank, long now) {
        int level = ServiceLevel.OPEN;
        for (Learned learned : closedByRank.get(rank)) {
            level = Math.min(level, learned.levelAt(now));
        }
        return level;
    }

    /** The lowest level that holds for any rank. */
    int lowestLevel(long now) {
        int level = ServiceLevel.OPEN;
        for (int rank = 0; rank < PriorityClass.RANKS; rank++) {
            level = Math.min(level, level(rank, now));
        }
        return level;
    }

    /** The services that do not admit all and that the rank met, with their levels of now. */
    ImmutableList<ServiceLevel> closed(int rank, long now) {
        return closedByRank.get(rank).stream()
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
        return closedByRank.get(rank).stream().mapToLong(Learned::at).max().orElse(0);
    }

    private static int aged(int level, long age) {
        if (age <= HOLD_NANOS) {
            return level;
        }
        double share = (double) (age - HOLD_NANOS) / (OPEN_AFTER_NANOS - HOLD_NANOS);
        return (int) Math.min(ServiceLevel.OPEN, level + share * ServiceLevel.OPEN);
    }
}
