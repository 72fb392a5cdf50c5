package io.beryldock.admission;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.ServiceLevel;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventKind;
import io.beryldock.timeline.EventSink;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleUnaryOperator;
import org.HdrHistogram.Histogram;

/**
 * A queueing model of a chain of services with target gates and entry shedders on simulated time, which measures the
 * algorithms in isolation.
 *
 * <p>Callers arrive at random, each at one of the entry nodes; 10% of the requests have rank 0, 20% have rank 3 and the
 * rest have rank 6.
 */
final class ChainSimulation {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int CALLERS = 20_000;
    private static final int BUCKETS_PER_SECOND = 20;

    final ManualTimerService timers = ManualTimerService.create();
    final Random random;
    final List<SimService> chain = new ArrayList<>();
    final AtomicInteger violations = new AtomicInteger();
    private final Setup setup;
    private final List<EntryShedder> shedders = new ArrayList<>();
    private final int[] goodByBucket;
    private final long[] sentByRank = new long[8];
    private final long[] answeredByRank = new long[8];
    private final long[] shedByRank = new long[8];
    private final Histogram rank0 = new Histogram(3);
    private double usedSlotNanos;
    private double wastedSlotNanos;
    private long goodput;

    /**
     * Parameters of a simulation; the stages are listed from the root of the chain downwards.
     *
     * @param demand requests per second, by the second of the run
     * @param slowness factor on the service time of the last service, by the second of the run
     * @param announced slots that a target announces as a multiple of its actual slots, 0 for none
     * @param refuseAbove number of requests at a target, running or queued, from which it refuses further ones
     * @param from start of the measured part of the run, in seconds
     */
    record Setup(
            long seed,
            int seconds,
            ImmutableList<Stage> stages,
            int instances,
            int entries,
            boolean shedAtEntry,
            GateSettings gate,
            double announced,
            int refuseAbove,
            DoubleUnaryOperator demand,
            DoubleUnaryOperator slowness,
            double from,
            double deadlineSeconds) {

        /**
         * Returns the root requests per second that the slots allow: a service holds its slot while the services below
         * it work.
         */
        double capacity() {
            double bound = Double.MAX_VALUE;
            double held = 0;
            int visits = stages.stream().mapToInt(Stage::calls).reduce(1, (a, b) -> a * b);
            for (Stage stage : stages.reverse()) {
                held = stage.millis() + (held == 0 ? 0 : stage.calls() * (held + 2));
                visits /= stage.calls();
                bound = Math.min(bound, instances * stage.slots() * 1e3 / held / visits);
            }
            return bound;
        }
    }

    /**
     * A service of the chain.
     *
     * @param slots slots of each instance
     * @param millis mean time of its own work
     * @param calls number of calls that it makes to the next service
     */
    record Stage(int slots, double millis, int calls) {}

    /** Results of a simulation. */
    record Result(
            double goodputShare,
            double wastedShare,
            double answeredRank0,
            double answeredRank3,
            double answeredRank6,
            double shedAtEntry,
            double rank0P99Millis,
            double recoverySeconds,
            int violations) {}

    ChainSimulation(Setup setup) {
        this.setup = setup;
        this.random = new Random(setup.seed());
        this.goodByBucket = new int[(setup.seconds() + 2) * BUCKETS_PER_SECOND];
        EventSink events = (kind, request, subject, detail) -> {
            if (kind == EventKind.INVARIANT_BROKEN) {
                violations.incrementAndGet();
            }
        };
        SimService serviceBelow = null;
        for (int depth = setup.stages().size() - 1; depth >= 0; depth--) {
            serviceBelow = service(depth, serviceBelow, events);
            chain.add(0, serviceBelow);
        }
        for (int i = 0; i < setup.entries(); i++) {
            shedders.add(EntryShedder.create(timers.ticker(), random, events));
        }
    }

    private SimService service(int depth, SimService serviceBelow, EventSink events) {
        SimService service = new SimService(
                "service-" + depth,
                timers,
                random,
                serviceBelow,
                setup.stages().get(depth).calls());
        boolean last = depth == setup.stages().size() - 1;
        int slots = setup.stages().get(depth).slots();
        GateSettings settings = setup.gate().withAnnouncedSlots((int) (slots * setup.announced()));
        for (int i = 0; i < setup.instances(); i++) {
            service.add(
                    TargetGate.create(settings, timers, random, events, service.name),
                    new SimTarget(
                            timers,
                            random,
                            slots,
                            setup.stages().get(depth).millis() * 1e6,
                            last ? setup.slowness() : t -> 1,
                            setup.refuseAbove()));
        }
        return service;
    }

    Result run() {
        arriveNext();
        timers.advance(Duration.ofSeconds(setup.seconds()));
        return result(0, 0);
    }

    /** Runs the simulation and measures the time from the end of the cause until goodput has recovered for a second. */
    Result run(double before, double causeEnd) {
        arriveNext();
        timers.advance(Duration.ofSeconds(setup.seconds()));
        return result(before, causeEnd);
    }

    private double now() {
        return timers.ticker().nanos() / NANOS_PER_SECOND;
    }

    private void arriveNext() {
        double gap = random.nextExponential() / setup.demand().applyAsDouble(now());
        timers.after(Duration.ofNanos((long) (gap * NANOS_PER_SECOND)), () -> {
            arriveNext();
            arrive();
        });
    }

    private void arrive() {
        int dice = random.nextInt(10);
        int rank = dice == 0 ? 0 : dice < 3 ? 3 : 6;
        int hash = CallerHash.of("caller-" + random.nextInt(CALLERS), 0);
        boolean counted = now() >= setup.from() && now() < setup.seconds() - 1;
        sentByRank[rank] += counted ? 1 : 0;
        EntryShedder shedder = shedders.get(random.nextInt(shedders.size()));
        SimService root = chain.get(0);
        if (setup.shedAtEntry() && !shedder.decide(root.name, rank, hash).admitted()) {
            shedByRank[rank] += counted ? 1 : 0;
            return;
        }
        long start = timers.ticker().nanos();
        long deadline = timers.ticker().nanos() + (long) (setup.deadlineSeconds() * NANOS_PER_SECOND);
        SimService.RootRequest rootRequest = new SimService.RootRequest(rank, hash, deadline);
        root.call(rootRequest, reply -> {
            shedder.observe(root.name, rank, reply.levels());
            end(rootRequest, reply.ok(), counted);
            if (counted && rank == 0) {
                rank0.recordValue(timers.ticker().nanos() - start);
            }
        });
    }

    private void end(SimService.RootRequest rootRequest, boolean ok, boolean counted) {
        rootRequest.ended = true;
        if (ok) {
            goodByBucket[(int) (now() * BUCKETS_PER_SECOND)]++;
        }
        if (!counted) {
            return;
        }
        usedSlotNanos += rootRequest.slotNanos;
        wastedSlotNanos += ok ? 0 : rootRequest.slotNanos;
        goodput += ok ? 1 : 0;
        answeredByRank[rootRequest.rank] += ok ? 1 : 0;
    }

    private Result result(double before, double causeEnd) {
        double counted = setup.seconds() - 1 - setup.from();
        long allSent = sentByRank[0] + sentByRank[3] + sentByRank[6];
        return new Result(
                goodput / counted / setup.capacity(),
                wastedSlotNanos / Math.max(1, usedSlotNanos),
                (double) answeredByRank[0] / Math.max(1, sentByRank[0]),
                (double) answeredByRank[3] / Math.max(1, sentByRank[3]),
                (double) answeredByRank[6] / Math.max(1, sentByRank[6]),
                (double) (shedByRank[0] + shedByRank[3] + shedByRank[6]) / Math.max(1, allSent),
                rank0.getValueAtPercentile(99) / 1e6,
                causeEnd > 0 ? recovery(before, causeEnd) : 0,
                violations.get());
    }

    /**
     * Returns the time until goodput has recovered: it reaches 95% of its earlier value for a second, and 90% of it in
     * the first quarter of that second.
     */
    private double recovery(double before, double causeEnd) {
        int from = (int) (before * BUCKETS_PER_SECOND);
        double usual = sum(from - 2 * BUCKETS_PER_SECOND, from) / 2.0;
        int start = (int) (causeEnd * BUCKETS_PER_SECOND);
        for (int at = start; at + BUCKETS_PER_SECOND < setup.seconds() * BUCKETS_PER_SECOND; at++) {
            if (sum(at, at + BUCKETS_PER_SECOND) >= 0.95 * usual && sum(at, at + 5) >= 0.9 * usual / 4) {
                return (double) (at - start) / BUCKETS_PER_SECOND;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private int sum(int from, int to) {
        int sum = 0;
        for (int i = Math.max(0, from); i < to; i++) {
            sum += goodByBucket[i];
        }
        return sum;
    }

    /** Returns the goodput per tenth of a second, to examine a single run. */
    List<Integer> goodput() {
        List<Integer> list = new ArrayList<>();
        for (int at = 0; at < setup.seconds() * BUCKETS_PER_SECOND; at += 2) {
            list.add(sum(at, at + 2));
        }
        return list;
    }

    int level(int depth) {
        return chain.get(depth).instances.stream()
                .mapToInt(instance -> instance.gate.level())
                .min()
                .orElse(ServiceLevel.OPEN);
    }
}
