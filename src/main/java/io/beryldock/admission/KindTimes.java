package io.beryldock.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Service times of a target by kind of request: kinds may differ so much that the mean of all would let long
 * ones begin that can't finish and turn short ones away that can.
 *
 * <p>A kind is known from its first answer. Memory is bounded: where many kinds are asked for, those that were not
 * answered for long make room, else new ones are not told apart. Guarded by the gate's lock.
 */
final class KindTimes {

    /** More kinds than a service has routes and callers in most places. */
    private static final int MAX_KINDS = 64;

    /** A kind without an answer for that long may be forgotten. */
    private static final long STALE_NANOS = 30_000_000_000L;

    /** How often a request of an unknown kind may run to make it known, whatever others take. */
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

    /** The time expected of the kind, or that of all kinds when it is unknown. */
    double expected(int kind, SmoothedTime all, long now) {
        SmoothedTime known = kinds.get(kind);
        return known == null ? all.expected(now) : known.expected(now);
    }

    /** How much longer than the mean of all the kind takes, below 0 when shorter; 0 while it is unknown. */
    double aboveMean(int kind, SmoothedTime all) {
        SmoothedTime known = kinds.get(kind);
        return known == null ? 0 : known.mean() - all.mean();
    }

    /** Whether a request may run to make its kind known, though all others take longer than it has. */
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
