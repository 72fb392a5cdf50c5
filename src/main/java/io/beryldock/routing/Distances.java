package io.beryldock.routing;

import io.beryldock.call.DataCentre;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Assigns data centres to distance tiers by measured round trip times.
 *
 * <p>There are three tiers: the local data centre, near ones and those of other regions. A data centre without a
 * measurement counts as near. The version changes only when a data centre moves to another tier. Thread safe.
 */
final class Distances {

    static final int OWN = 0;
    static final int NEAR = 1;
    static final int FAR = 2;
    static final int TIERS = 3;

    /** Data centres with a longer round trip are in another region. */
    private static final long FAR_NANOS = Duration.ofMillis(10).toNanos();

    private static final double SAMPLE_WEIGHT = 0.2;

    private final DataCentre own;
    private final ConcurrentMap<DataCentre, Double> roundTrips = new ConcurrentHashMap<>();
    private final AtomicInteger version = new AtomicInteger();

    Distances(DataCentre own) {
        this.own = own;
    }

    int version() {
        return version.get();
    }

    int tier(DataCentre other) {
        if (other.equals(own)) {
            return OWN;
        }
        return roundTrips.getOrDefault(other, 0.0) > FAR_NANOS ? FAR : NEAR;
    }

    void onRoundTrip(DataCentre other, long nanos) {
        int previousTier = tier(other);
        roundTrips.merge(other, (double) nanos, (old, sample) -> old + SAMPLE_WEIGHT * (sample - old));
        if (tier(other) != previousTier) {
            version.incrementAndGet();
        }
    }

    /** Longest round trip to a data centre of the near tier, 0 when none was measured. */
    long nearRoundTripNanos() {
        double farthest = 0;
        for (double nanos : roundTrips.values()) {
            farthest = nanos > FAR_NANOS ? farthest : Math.max(farthest, nanos);
        }
        return (long) farthest;
    }
}
