package io.beryldock.timeline;

import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.RequestId;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the cost of recording an event. Run manually, see docs/DECISIONS/0014-time-line.md. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class EventRingBenchmark {

    private static final int CAPACITY = 4096;

    private final EventRing ring = EventRing.create(
            NodeId.of("gent-a-lists-1"), DataCentre.of("gent-a"), HybridLogicalClock.system(), CAPACITY, new Random(1));
    private final Incarnation incarnation = new Incarnation(1, 2);
    private long counter;

    /** A decision on one request, which is aggregated in its window and retained for lookups by request. */
    @Benchmark
    public void shed() {
        Optional<RequestId> request = Optional.of(new RequestId(incarnation, ++counter));
        ring.record(EventKind.SHED_AT_DOOR, request, "holdings", "class browsing, level 832 of 1024");
    }

    /** An event that is not aggregated. */
    @Benchmark
    public void levelChanged() {
        ring.record(EventKind.LEVEL_CHANGED, "holdings", "1024 to 832");
    }
}
