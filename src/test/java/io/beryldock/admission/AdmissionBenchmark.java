package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.Incarnation;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestId;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.time.ThreadTimerService;
import io.beryldock.time.Ticker;
import io.beryldock.timeline.EventSink;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * Measures time and allocated bytes of each admission decision on the path of a request, by the number of closed
 * services; run by hand.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class AdmissionBenchmark {

    private static final ServiceName LISTS = ServiceName.of("lists");
    private static final int SLOTS = 50;

    /** Number of services that one execution calls. */
    private static final int CALLED = 3;

    /** Number of services that are overloaded or call overloaded ones, as known to one entry node. */
    @Param({"0", "10", "100", "2400"})
    int closedServices;

    private final ImmutableList<ServiceLevel> levelsBelow = IntStream.range(0, CALLED)
            .mapToObj(i -> new ServiceLevel(ServiceName.of("called-" + i), 700))
            .collect(ImmutableList.toImmutableList());
    private final Random random = new Random(1);
    private final RequestId id = new RequestId(new Incarnation(1, 2), 3);
    private ThreadTimerService timers;
    private TargetGate free;
    private TargetGate full;
    private EntryShedder shedder;
    private ServiceName[] services;
    private int next;

    public static void main(String[] args) throws RunnerException {
        new Runner(new OptionsBuilder()
                        .include(AdmissionBenchmark.class.getSimpleName())
                        .forks(0)
                        .warmupIterations(3)
                        .warmupTime(TimeValue.milliseconds(500))
                        .measurementIterations(5)
                        .measurementTime(TimeValue.milliseconds(500))
                        .addProfiler(GCProfiler.class)
                        .build())
                .run();
    }

    @Setup(Level.Trial)
    public void setUp() {
        timers = ThreadTimerService.start("benchmark", Runnable::run);
        free = gate();
        full = gate();
        for (int i = 0; i < SLOTS; i++) {
            full.submit(request(3), new PermitHolder());
        }
        // Levels must not age during the run, but reading the clock is part of the cost.
        Ticker ticker = () -> System.nanoTime() % 1_000_000;
        shedder = EntryShedder.create(ticker, random, EventSink.none());
        services = new ServiceName[Math.max(1, closedServices)];
        for (int i = 0; i < services.length; i++) {
            services[i] = ServiceName.of("service-" + i);
        }
        for (int i = 0; i < closedServices; i++) {
            List<ServiceLevel> levels = new ArrayList<>();
            levels.add(new ServiceLevel(services[i], 900));
            levels.add(new ServiceLevel(ServiceName.of("beneath-" + i), 700));
            for (int times = 0; times < 7; times++) {
                shedder.observe(services[i], 6, levels);
            }
        }
    }

    @TearDown(Level.Trial)
    public void tearDown() {
        timers.close();
    }

    @Benchmark
    public GateHandle admitAndRelease() {
        PermitHolder permitHolder = new PermitHolder();
        GateHandle handle = free.submit(request(3), permitHolder);
        permitHolder.permit.release(Completion.SUCCEEDED);
        return handle;
    }

    @Benchmark
    public GateHandle queueAndCancel() {
        GateHandle handle = full.submit(request(3), new PermitHolder());
        handle.cancel();
        return handle;
    }

    @Benchmark
    public ShedDecision decideAtEntry() {
        next = (next + 1) % services.length;
        return shedder.decide(services[next], 6, next);
    }

    @Benchmark
    public int hashCaller() {
        return CallerHash.of("0123456789abcdef0123456789abcdef", 7);
    }

    @Benchmark
    public List<ServiceLevel> reportLevels() {
        LevelReport report = LevelReport.create();
        for (int i = 0; i < CALLED; i++) {
            report.add(levelsBelow.get(i).service(), ImmutableList.of(levelsBelow.get(i)));
        }
        return report.with(new ServiceLevel(LISTS, free.level()));
    }

    private TargetGate gate() {
        GateSettings settings =
                GateSettings.defaults().withAnnouncedSlots(SLOTS).withInitialLimit(SLOTS);
        return TargetGate.create(settings, timers, random, EventSink.none(), LISTS);
    }

    private GateRequest request(int rank) {
        return new GateRequest(id, rank, next++, 0, TimeUnit.HOURS.toNanos(1));
    }

    private static final class PermitHolder implements GateListener {
        private Permit permit;

        @Override
        public void admitted(Permit granted) {
            permit = granted;
        }

        @Override
        public void refused(Reason reason, long retryAfterMillis) {}
    }
}
