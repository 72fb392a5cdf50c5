package io.beryldock.routing;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.CallResult;
import io.beryldock.call.ServiceLevel;
import io.beryldock.membership.Directory;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventSink;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time of a choice, alone and with start and end of the call, by number of targets. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
public class TargetChooserBenchmark {

    private static final long LATENCY = 20_000_000;
    private static final CallResult SUCCESS = CallResult.answered(FakeFleet.ok())
            .withLevels(ImmutableList.of(new ServiceLevel(FakeFleet.SERVICE, ServiceLevel.OPEN)));

    @Param({"3", "9", "30", "100", "300"})
    int targets;

    private TargetChooser chooser;
    private Directory directory;

    @Setup
    public void createTargets() {
        List<TargetRecord> records = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            records.add(FakeFleet.record("t" + i, FakeFleet.OWN, 50, TargetState.READY));
        }
        directory = Directory.of(List.of(), records);
        chooser = TargetChooser.create(
                FakeFleet.OWN, new Random(1), Ticker.system(), EventSink.none(), ChooserSettings.defaults());
    }

    @Benchmark
    public TargetRecord chooseOnly() {
        return chooser.choose(directory, FakeFleet.SERVICE, Set.of(), Set.of()).orElseThrow();
    }

    @Benchmark
    public TargetRecord chooseStartEnd() {
        TargetRecord target = chooseOnly();
        chooser.onStart(target);
        chooser.onResult(target, SUCCESS, LATENCY);
        return target;
    }

    /** Cost of the first choice after a change of the directory. */
    @Benchmark
    public TargetRecord chooseAfterChange() {
        Directory changed = Directory.of(List.of(), directory.targetsOf(FakeFleet.SERVICE));
        return chooser.choose(changed, FakeFleet.SERVICE, Set.of(), Set.of()).orElseThrow();
    }
}
