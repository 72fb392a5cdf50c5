package io.beryldock.retry;

import com.google.common.collect.ImmutableMap;
import io.beryldock.call.ServiceName;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the calls that this node sent to the target in its VM since the start, by service and kind of arrival.
 *
 * <p>Thread safe. The sum over all nodes is what the targets of a service received, except for what nodes sent before
 * their last start.
 */
public final class ArrivalTally {

    private final Map<ServiceName, Map<ArrivalKind, LongAdder>> services = new ConcurrentHashMap<>();

    private ArrivalTally() {}

    public static ArrivalTally create() {
        return new ArrivalTally();
    }

    public void add(ServiceName service, ArrivalKind kind) {
        services.computeIfAbsent(service, name -> newCounts()).get(kind).increment();
    }

    private static Map<ArrivalKind, LongAdder> newCounts() {
        Map<ArrivalKind, LongAdder> counts = new EnumMap<>(ArrivalKind.class);
        for (ArrivalKind kind : ArrivalKind.values()) {
            counts.put(kind, new LongAdder());
        }
        return counts;
    }

    /** Returns the counts by service; each service has a count for every kind. */
    public ImmutableMap<ServiceName, ImmutableMap<ArrivalKind, Long>> rows() {
        ImmutableMap.Builder<ServiceName, ImmutableMap<ArrivalKind, Long>> rows = ImmutableMap.builder();
        services.forEach((service, counts) -> {
            ImmutableMap.Builder<ArrivalKind, Long> row = ImmutableMap.builder();
            counts.forEach((kind, count) -> row.put(kind, count.sum()));
            rows.put(service, row.buildOrThrow());
        });
        return rows.buildOrThrow();
    }
}
