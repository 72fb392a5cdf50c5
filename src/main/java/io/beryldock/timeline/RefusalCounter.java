package io.beryldock.timeline;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.ServiceName;
import io.beryldock.time.Ticker;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the requests that this node refused, by reason, class, service and caller, over the last hour.
 *
 * <p>Thread safe, with short critical sections. Memory is bounded for any number of names that callers send:
 * {@link #KINDS_PER_BUCKET} combinations in each of {@link #BUCKETS} buckets. Beyond that limit only names are lost:
 * the counts of a time span always sum to the refusals within it, with the precision of one bucket.
 */
public final class RefusalCounter {

    /** Replaces names that are not counted separately. */
    public static final String OTHERS = "others";

    /** Retention period of the counts. */
    public static final Duration SPAN = Duration.ofHours(1);

    static final Duration BUCKET = Duration.ofSeconds(10);
    static final int KINDS_PER_BUCKET = 64;
    private static final long BUCKETS = SPAN.dividedBy(BUCKET);

    private final Ticker ticker;
    private final ArrayDeque<Bucket> buckets = new ArrayDeque<>();

    private RefusalCounter(Ticker ticker) {
        this.ticker = ticker;
    }

    public static RefusalCounter create(Ticker ticker) {
        return new RefusalCounter(ticker);
    }

    /** Counts one request that this node refused or abandoned; {@code caller} is the service that made the call. */
    public synchronized void record(Reason reason, PriorityClass priority, ServiceName service, ServiceName caller) {
        Kind kind = new Kind(reason, priority.name(), service.value(), caller.value());
        currentBucket().add(kind);
    }

    /**
     * The counts of the given most recent time span, with the precision of one bucket: one element per combination, in
     * no particular order.
     */
    public synchronized ImmutableList<RefusalCount> last(Duration length) {
        long first = bucketNumber(ticker.nanos() - length.toNanos());
        Map<Kind, Long> sums = new HashMap<>();
        for (Bucket bucket : buckets) {
            if (bucket.number >= first) {
                bucket.counts.forEach((kind, count) -> sums.merge(kind, count, Long::sum));
            }
        }
        ImmutableList.Builder<RefusalCount> list = ImmutableList.builder();
        sums.forEach((kind, count) -> list.add(kind.toCount(count)));
        return list.build();
    }

    private Bucket currentBucket() {
        long number = bucketNumber(ticker.nanos());
        if (buckets.isEmpty() || buckets.peekLast().number < number) {
            buckets.addLast(new Bucket(number));
        }
        while (buckets.peekFirst().number <= number - BUCKETS) {
            buckets.removeFirst();
        }
        return buckets.peekLast();
    }

    private static long bucketNumber(long nanos) {
        return Math.floorDiv(nanos, BUCKET.toNanos());
    }

    private record Kind(Reason reason, String priorityClass, String service, String caller) {

        // Written by hand because the C1 compiler, which nodes use, does not inline the generated equals of a record,
        // which is an invokedynamic call.
        @Override
        public boolean equals(Object other) {
            return other instanceof Kind that
                    && reason == that.reason
                    && priorityClass.equals(that.priorityClass)
                    && service.equals(that.service)
                    && caller.equals(that.caller);
        }

        @Override
        public int hashCode() {
            return 31 * (31 * reason.hashCode() + service.hashCode()) + caller.hashCode();
        }

        static Kind others(Reason reason) {
            return new Kind(reason, OTHERS, OTHERS, OTHERS);
        }

        RefusalCount toCount(long count) {
            return new RefusalCount(reason, priorityClass, service, caller, count);
        }
    }

    /** The counts of one interval of length {@link #BUCKET}. */
    private static final class Bucket {
        private final long number;
        private final Map<Kind, Long> counts = new HashMap<>();

        Bucket(long number) {
            this.number = number;
        }

        void add(Kind kind) {
            boolean known = counts.size() < KINDS_PER_BUCKET || counts.containsKey(kind);
            counts.merge(known ? kind : Kind.others(kind.reason()), 1L, Long::sum);
        }
    }
}
