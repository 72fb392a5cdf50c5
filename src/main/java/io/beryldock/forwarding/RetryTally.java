package io.beryldock.forwarding;

import com.google.common.collect.ImmutableMap;
import io.beryldock.call.ServiceName;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts first tries and retries between pairs of services since the start. Thread safe. */
public final class RetryTally {

    private final Map<Pair, Adders> pairs = new ConcurrentHashMap<>();

    private RetryTally() {}

    public static RetryTally create() {
        return new RetryTally();
    }

    void firstTry(ServiceName caller, ServiceName service) {
        adders(caller, service).firstTries.increment();
    }

    void granted(ServiceName caller, ServiceName service) {
        adders(caller, service).granted.increment();
    }

    void refused(ServiceName caller, ServiceName service) {
        adders(caller, service).refused.increment();
    }

    private Adders adders(ServiceName caller, ServiceName service) {
        return pairs.computeIfAbsent(new Pair(caller, service), pair -> new Adders());
    }

    public ImmutableMap<Pair, Counts> rows() {
        ImmutableMap.Builder<Pair, Counts> rows = ImmutableMap.builder();
        pairs.forEach((pair, adders) -> rows.put(pair, adders.counts()));
        return rows.build();
    }

    /** A calling and a called service. */
    public record Pair(ServiceName caller, ServiceName service) {}

    /** Counts of one pair. Immutable. */
    public record Counts(long firstTries, long granted, long refused) {}

    /** Running counts of one pair. Thread safe. */
    private static final class Adders {
        private final LongAdder firstTries = new LongAdder();
        private final LongAdder granted = new LongAdder();
        private final LongAdder refused = new LongAdder();

        Counts counts() {
            return new Counts(firstTries.sum(), granted.sum(), refused.sum());
        }
    }
}
