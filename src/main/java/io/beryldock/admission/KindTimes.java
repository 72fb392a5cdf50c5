package io.beryldock.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Service times of a target by kind of request. Kinds may differ so much that the mean over all kinds would admit long
 * requests that cannot finish in time and refuse short ones that can.
 *
 * <p>A kind is tracked from its first answer on. Memory is bounded: when the maximum number of kinds is reached, kinds
 * without a recent answer are evicted; if there are none, new kinds are not tracked. Guarded by the gate's lock.
 */
final class KindTimes {

    /** Maximum number of tracked kinds; above the number of routes and callers that most services have. */
    private static final int MAX_KINDS = 64;

    /** Time without an answer after which a kind may be evicted. */
    private static final long STALE_NANOS = 30_000_000_000L;

    /**
     * Minimum time between two probes, which are requests of an unknown kind that are admitted to measure its service
     * time even if the requests of other kinds take too long.
     */
    private static final long PROBE_NANOS = 100_000_000L;

    private final Map<Integer, SmoothedTime> kinds = new HashMap<>();
    private boolean probed;
    private long probedAt;

    void add(int kind, long nanos, long now) {
        if (kind == RequestKind.NONE) {
            return;
        }
        SmoothedTime known = kinds.get(kind);
        if (known != null) {
            known.add(nanos, now);
        } else if (hasRoom(now)) {
            SmoothedTime first = new SmoothedTime();
            first.add(nanos, now);
            kinds.put(kind, first);
        }
    }

    /** Returns the expected time of the kind, or that over all kinds when the kind is unknown. */
    double expected(int kind, SmoothedTime all, long now) {
        SmoothedTime known = kinds.get(kind);
        return known == null ? all.expected(now) : known.expected(now);
    }

    /**
     * Returns the difference between the mean of the kind and the mean over all kinds, negative when the kind is
     * faster; 0 while the kind is unknown.
     */
    double aboveMean(int kind, SmoothedTime all) {
        SmoothedTime known = kinds.get(kind);
        return known == null ? 0 : known.mean() - all.mean();
    }

    /**
     * Whether a request may run as a probe to measure its kind, even if the mean over all kinds exceeds its remaining
     * time.
     */
    boolean takeProbe(int kind, long now) {
        boolean due = !probed || now - probedAt >= PROBE_NANOS;
        if (kind == RequestKind.NONE || !due || kinds.containsKey(kind) || !hasRoom(now)) {
            return false;
        }
        probed = true;
        probedAt = now;
        return true;
    }

    private boolean hasRoom(long now) {
        if (kinds.size() >= MAX_KINDS) {
            kinds.values().removeIf(time -> now - time.lastAt() > STALE_NANOS);
        }
        return kinds.size() < MAX_KINDS;
    }
}
