package io.beryldock.forwarding;

import com.google.common.collect.ImmutableMap;
import io.beryldock.call.CallResult;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAccumulator;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the root requests of this node, and their retries, by priority class and outcome.
 *
 * <p>Thread safe. Invariant, checked by the retry account as each request ends: no root request spent more retries than
 * its allowance.
 */
public final class RequestTally {

    private final Map<String, ClassCounts> classes = new ConcurrentHashMap<>();

    private final LongAdder inFlight = new LongAdder();
    private final LongAccumulator mostRetries = new LongAccumulator(Math::max, 0);

    private RequestTally() {}

    public static RequestTally create() {
        return new RequestTally();
    }

    void onStart(PriorityClass priority) {
        inFlight.increment();
        counts(priority).asked.increment();
    }

    void onEnd(PriorityClass priority, CallResult result, int retries) {
        inFlight.decrement();
        ClassCounts counts = counts(priority);
        counts.retries.add(retries);
        mostRetries.accumulate(retries);
        switch (result.outcome()) {
            case ANSWERED -> counts.answered.increment();
            case UNKNOWN -> counts.unknown.increment();
            case NOT_RUN -> countNotRun(counts, result.reason());
        }
    }

    private static void countNotRun(ClassCounts counts, Optional<Reason> reason) {
        counts.notRun.increment();
        reason.ifPresent(found ->
                counts.byReason.computeIfAbsent(found, key -> new LongAdder()).increment());
    }

    private ClassCounts counts(PriorityClass priority) {
        return classes.computeIfAbsent(priority.name(), name -> new ClassCounts());
    }

    /** Returns the number of root requests of this node that have not ended. */
    public long inFlight() {
        return inFlight.sum();
    }

    /** Returns the largest number of retries that one root request of this node has spent or lost. */
    public long mostRetries() {
        return mostRetries.get();
    }

    /** Returns the counts since the start, by class. */
    public ImmutableMap<String, Row> rows() {
        ImmutableMap.Builder<String, Row> rows = ImmutableMap.builder();
        classes.forEach((name, counts) -> rows.put(name, counts.row()));
        return rows.build();
    }

    /** Counts of one class. Immutable. */
    public record Row(
            long asked,
            long answered,
            long notRun,
            long unknown,
            long retries,
            ImmutableMap<Reason, Long> notRunByReason) {}

    /** Running counts of one class. Thread safe. */
    private static final class ClassCounts {
        private final LongAdder asked = new LongAdder();
        private final LongAdder answered = new LongAdder();
        private final LongAdder notRun = new LongAdder();
        private final LongAdder unknown = new LongAdder();
        private final LongAdder retries = new LongAdder();
        private final Map<Reason, LongAdder> byReason = new ConcurrentHashMap<>();

        Row row() {
            ImmutableMap.Builder<Reason, Long> reasons = ImmutableMap.builder();
            byReason.forEach((reason, count) -> reasons.put(reason, count.sum()));
            return new Row(asked.sum(), answered.sum(), notRun.sum(), unknown.sum(), retries.sum(), reasons.build());
        }
    }
}
