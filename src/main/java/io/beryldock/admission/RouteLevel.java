package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What an entry has learned of one service and of those beneath it.
 *
 * <p>Ageing: without answers the level holds for {@link #HOLD_NANOS}, then rises evenly, and is open
 * {@link #OPEN_AFTER_NANOS} after the last answer. Probes: an entry all of whose requests are shed gets no answers and
 * would learn of the end of an overload only by ageing; so when no answer came for the probe interval one request is
 * let through. The interval doubles while probes bring no change, so that probes stay a trickle.
 *
 * <p>Invariant: the published level is the lowest among the services of the graph. Thread safe: learning takes a lock,
 * reading none.
 */
final class RouteLevel {

    static final long HOLD_NANOS = 1_000_000_000L;
    static final long OPEN_AFTER_NANOS = 5_000_000_000L;
    static final long MIN_PROBE_NANOS = 250_000_000L;
    static final long MAX_PROBE_NANOS = 2_000_000_000L;

    private final Map<ServiceName, LevelSamples> samples = new HashMap<>();
    private final AtomicLong lastProbe = new AtomicLong(Long.MIN_VALUE);
    private volatile Learned learned = new Learned(ServiceLevel.OPEN, ImmutableList.of(), 0);
    private volatile long probeInterval = MIN_PROBE_NANOS;

    /**
     * One state of knowledge.
     *
     * @param closed the services that do not admit all
     * @param at when the last answer came
     */
    private record Learned(int level, ImmutableList<ServiceLevel> closed, long at) {}

    /** Takes in what one answer reported; a service that is missing admits all. */
    synchronized void observe(List<ServiceLevel> reported, long now) {
        Set<ServiceName> missing = new HashSet<>(samples.keySet());
        for (ServiceLevel level : reported) {
            missing.remove(level.service());
            samples.computeIfAbsent(level.service(), service -> LevelSamples.startingOpen(now))
                    .add(level.level(), now);
        }
        missing.forEach(service -> samples.get(service).add(ServiceLevel.OPEN, now));
        publish(now);
    }

    private void publish(long now) {
        ImmutableList.Builder<ServiceLevel> closed = ImmutableList.builder();
        int worst = ServiceLevel.OPEN;
        for (Map.Entry<ServiceName, LevelSamples> entry : samples.entrySet()) {
            int level = entry.getValue().middle(now);
            if (level < ServiceLevel.OPEN) {
                closed.add(new ServiceLevel(entry.getKey(), level));
                worst = Math.min(worst, level);
            }
        }
        if (worst > learned.level() + ServiceLevel.STEPS) {
            probeInterval = MIN_PROBE_NANOS;
        }
        learned = new Learned(worst, closed.build(), now);
    }

    boolean open() {
        return learned.level() >= ServiceLevel.OPEN;
    }

    /** Whether all samples are open, so that nothing needs to be remembered. */
    synchronized boolean settledOpen() {
        return samples.values().stream().allMatch(LevelSamples::allOpen);
    }

    int level(long now) {
        Learned seen = learned;
        return aged(seen.level(), now - seen.at());
    }

    /** The services that do not admit all, with their levels of now. */
    ImmutableList<ServiceLevel> closed(long now) {
        Learned seen = learned;
        long age = now - seen.at();
        if (age <= HOLD_NANOS) {
            return seen.closed();
        }
        return seen.closed().stream()
                .map(level -> new ServiceLevel(level.service(), aged(level.level(), age)))
                .filter(level -> level.level() < ServiceLevel.OPEN)
                .collect(ImmutableList.toImmutableList());
    }

    /** Whether a request that the level sheds goes through as a probe. */
    boolean takeProbe(long now) {
        long interval = probeInterval;
        long last = lastProbe.get();
        boolean due = now - learned.at() >= interval && (last == Long.MIN_VALUE || now - last >= interval);
        if (!due || !lastProbe.compareAndSet(last, now)) {
            return false;
        }
        probeInterval = Math.min(MAX_PROBE_NANOS, 2 * interval);
        return true;
    }

    private static int aged(int level, long age) {
        if (age <= HOLD_NANOS) {
            return level;
        }
        double share = (double) (age - HOLD_NANOS) / (OPEN_AFTER_NANOS - HOLD_NANOS);
        return (int) Math.min(ServiceLevel.OPEN, level + share * ServiceLevel.OPEN);
    }
}
