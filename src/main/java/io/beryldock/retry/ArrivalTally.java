package io.beryldock.retry;

import com.google.common.collect.ImmutableMap;
import io.beryldock.call.ServiceName;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the calls that this node sent to the target in its VM since the start, and the repeats that it refused to
 * send, by service and kind of arrival.
 *
 * <p>Thread safe. The sum over all nodes is what the targets of a service received, except for what nodes sent before
 * their last start.
 */
public final class ArrivalTally {

    private final Map<Row, Adders> rows = new ConcurrentHashMap<>();

    private ArrivalTally() {}

    static ArrivalTally create() {
        return new ArrivalTally();
    }

    /** A service and a kind of arrival. Immutable. */
    public record Row(ServiceName service, ArrivalKind kind) {

        // Written by hand: the nodes' C1 compiler does not inline a record's generated equals, an invokedynamic call.
        @Override
        public boolean equals(Object other) {
            return other instanceof Row that && kind == that.kind && service.equals(that.service);
        }

        @Override
        public int hashCode() {
            return 31 * kind.hashCode() + service.hashCode();
        }
    }

    /**
     * Counts of one row. Immutable.
     *
     * @param sent calls sent to the target, including those that turned out not to have reached it
     * @param refused calls refused instead
     * @param unsent calls of {@code sent} of which no byte reached the target
     */
    public record Counts(long sent, long refused, long unsent) {

        /** Number of calls that may have reached the target. */
        public long arrived() {
            return sent - unsent;
        }

        /** Returns what was counted since an earlier reading. */
        public Counts since(Counts earlier) {
            return new Counts(sent - earlier.sent, refused - earlier.refused, unsent - earlier.unsent);
        }
    }

    void add(ServiceName service, ArrivalKind kind, boolean admitted) {
        Adders adders = adders(service, kind);
        (admitted ? adders.sent : adders.refused).increment();
    }

    void addUnsent(ServiceName service, ArrivalKind kind) {
        adders(service, kind).unsent.increment();
    }

    private Adders adders(ServiceName service, ArrivalKind kind) {
        return rows.computeIfAbsent(new Row(service, kind), row -> new Adders());
    }

    public ImmutableMap<Row, Counts> rows() {
        ImmutableMap.Builder<Row, Counts> counts = ImmutableMap.builder();
        rows.forEach((row, adders) -> counts.put(row, adders.counts()));
        return counts.buildOrThrow();
    }

    /** Running counts of one row. Thread safe. */
    private static final class Adders {
        private final LongAdder sent = new LongAdder();
        private final LongAdder refused = new LongAdder();
        private final LongAdder unsent = new LongAdder();

        Counts counts() {
            return new Counts(sent.sum(), refused.sum(), unsent.sum());
        }
    }
}
