package io.beryldock.routing;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.beryldock.call.Answer;
import io.beryldock.call.CallResult;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Headers;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.Reason;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.call.TargetLoad;
import io.beryldock.membership.Directory;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import io.beryldock.retry.RetryPolicy;
import io.beryldock.time.ManualTimerService;
import io.beryldock.time.TokenBucket;
import io.beryldock.timeline.EventSink;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;

/** Simulates targets of one service with slots, queues and faults, called by several choosers on a manual clock. */
final class FakeFleet {

    static final ServiceName SERVICE = ServiceName.of("holdings");
    static final DataCentre OWN = DataCentre.of("gent-a");
    static final DataCentre OTHER = DataCentre.of("gent-b");

    private static final long TIMEOUT = Duration.ofSeconds(1).toNanos();
    private static final CallKind LONG = new CallKind(SERVICE, "long");
    private static final int LONG_TIMES = 10;
    static final long MEAN_NANOS = Duration.ofMillis(20).toNanos();

    final ManualTimerService time = ManualTimerService.create();
    final Random random;
    final Map<NodeId, FakeTarget> targets = new LinkedHashMap<>();
    final List<TargetChooser> choosers = new ArrayList<>();
    final Histogram latency = new Histogram(3);
    Directory directory = Directory.empty();
    int answered;
    int refused;
    int failed;
    int unplaced;
    int sent;
    int retriesAfterRefusal;

    /** Share of calls of a second kind, which take ten times as long. */
    double longShare;

    Picker picker = chooser -> chooser.choose(directory, SERVICE, Set.of(), Set.of());

    /** Strategy for choosing a target, so that others can be compared with that of the chooser. */
    interface Picker {
        Optional<TargetRecord> pick(TargetChooser chooser);
    }

    FakeFleet(long seed, int callers) {
        random = new Random(seed);
        addCallers(OWN, seed, callers, ChooserSettings.defaults());
    }

    /** Creates a fleet without callers. */
    FakeFleet(long seed) {
        random = new Random(seed);
    }

    void addCallers(DataCentre dataCentre, long seed, int callers, ChooserSettings settings) {
        for (int i = 0; i < callers; i++) {
            choosers.add(
                    TargetChooser.create(dataCentre, new Random(seed + i), time.ticker(), EventSink.none(), settings));
        }
    }

    static Answer ok() {
        return new Answer(200, Headers.empty(), ByteString.EMPTY);
    }

    FakeTarget add(String name, DataCentre dataCentre, int slots) {
        FakeTarget target = new FakeTarget(record(name, dataCentre, slots, TargetState.READY));
        targets.put(target.record.node().id(), target);
        publish();
        return target;
    }

    static TargetRecord record(String name, DataCentre dataCentre, int slots, TargetState state) {
        Incarnation incarnation = new Incarnation(name.hashCode(), 1);
        InetSocketAddress address = InetSocketAddress.createUnresolved("127.0.0.1", 1);
        NodeDescriptor node = new NodeDescriptor(NodeId.of(name), incarnation, dataCentre, address);
        return new TargetRecord(node, SERVICE, slots, state, 1);
    }

    void remove(FakeTarget target) {
        targets.remove(target.record.node().id());
        publish();
    }

    private void publish() {
        List<TargetRecord> records = new ArrayList<>();
        targets.values().forEach(target -> records.add(target.record));
        directory = Directory.of(List.of(), records);
    }

    /** Clears the counts, then lets calls arrive at each caller as a Poisson process of the given rate. */
    void run(Duration length, double callsPerSecond) {
        latency.reset();
        answered = 0;
        refused = 0;
        failed = 0;
        unplaced = 0;
        sent = 0;
        targets.values().forEach(FakeTarget::clearCounts);
        long end = time.ticker().nanos() + length.toNanos();
        choosers.forEach(chooser -> arriveNext(chooser, callsPerSecond, end));
        time.advance(length);
    }

    private void arriveNext(TargetChooser chooser, double rate, long end) {
        long wait = (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
        if (time.ticker().nanos() + wait >= end) {
            return;
        }
        time.after(Duration.ofNanos(wait), () -> {
            call(chooser, Set.of(), random.nextDouble() < longShare);
            arriveNext(chooser, rate, end);
        });
    }

    private void call(TargetChooser chooser, Set<NodeId> tried, boolean isLong) {
        Optional<TargetRecord> chosen = tried.isEmpty()
                ? picker.pick(chooser)
                : chooser.chooseFree(SERVICE, tried, Set.of())
                        .or(() -> chooser.choose(directory, SERVICE, tried, Set.of()));
        if (chosen.isEmpty()) {
            unplaced++;
            return;
        }
        FakeTarget target = targets.get(chosen.get().node().id());
        chooser.onStart(target.record);
        target.calls++;
        sent++;
        Set<NodeId> triedNow = new HashSet<>(tried);
        triedNow.add(target.record.node().id());
        target.receive(new FakeCall(chooser, target, triedNow, time.ticker().nanos(), isLong));
    }

    /** One call in flight; only its first end takes effect. */
    private final class FakeCall {
        final TargetChooser chooser;
        final FakeTarget target;
        final Set<NodeId> tried;
        final long start;
        final boolean isLong;
        boolean ended;

        FakeCall(TargetChooser chooser, FakeTarget target, Set<NodeId> tried, long start, boolean isLong) {
            this.isLong = isLong;
            this.chooser = chooser;
            this.target = target;
            this.tried = tried;
            this.start = start;
            time.after(Duration.ofNanos(TIMEOUT), () -> end(CallResult.unknown(Reason.TIMED_OUT, "")));
        }

        void end(CallResult result) {
            if (ended) {
                return;
            }
            ended = true;
            long nanos = time.ticker().nanos() - start;
            CallKind kind = isLong ? LONG : CallKind.ANY;
            chooser.onResult(target.record, result.withLoad(target.load()), nanos, kind);
            if (result.answer().isPresent()) {
                answered++;
                latency.recordValue(nanos);
            } else if (RetryPolicy.isFullRefusal(result.reason().orElseThrow())) {
                retryOrRefuse();
            } else {
                failed++;
            }
        }

        private void retryOrRefuse() {
            if (tried.size() <= retriesAfterRefusal && tried.size() < targets.size()) {
                call(chooser, tried, isLong);
            } else {
                refused++;
            }
        }
    }

    /** A target with slots, a queue of as many places and exponential service times with a mean of 20 ms. */
    final class FakeTarget {
        final TargetRecord record;
        private final Queue<FakeCall> queue = new ArrayDeque<>();
        int calls;
        double slowness = 1;

        /** Occupancy above which the target is slower by the factor {@link #kneeSlowness}. */
        double knee = 1;

        double kneeSlowness = 1;
        double busyNanos;
        boolean reportsFreeSlots;
        boolean hanging;
        boolean refusesConnections;
        boolean failsCalls;
        private Optional<TokenBucket> rateLimit = Optional.empty();
        private double ratePerSecond;
        private int running;
        private long reports;
        private double meanNanos = MEAN_NANOS;

        FakeTarget(TargetRecord record) {
            this.record = record;
        }

        /** Names the rate that the target accepts from now on. */
        void limit(double perSecond) {
            ratePerSecond = perSecond;
            rateLimit = Optional.of(new TokenBucket(
                    perSecond, 1 + perSecond / 4, 1, time.ticker().nanos()));
        }

        private boolean takeToken() {
            return rateLimit
                    .map(bucket -> bucket.take(1, time.ticker().nanos()) == 1)
                    .orElse(true);
        }

        void receive(FakeCall call) {
            if (hanging) {
                return;
            }
            if (refusesConnections) {
                call.end(CallResult.notRun(Reason.CONNECT_FAILED, ""));
            } else if (failsCalls) {
                call.end(CallResult.unknown(Reason.CONNECTION_LOST, ""));
            } else if (!takeToken()) {
                call.end(CallResult.notRun(Reason.RATE_LIMITED, ""));
            } else if (running < record.slots()) {
                start(call);
            } else if (queue.size() < record.slots()) {
                queue.add(call);
            } else {
                call.end(CallResult.notRun(Reason.SHED_AT_TARGET, ""));
            }
        }

        private void start(FakeCall call) {
            running++;
            double kneeFactor = running > knee * record.slots() ? kneeSlowness : 1;
            double mean = MEAN_NANOS * slowness * kneeFactor * (call.isLong ? LONG_TIMES : 1);
            long nanos = (long) (-Math.log(1 - random.nextDouble()) * mean);
            busyNanos += nanos;
            meanNanos += (nanos - meanNanos) / 64;
            time.after(Duration.ofNanos(nanos), () -> finish(call));
        }

        TargetLoad load() {
            int reportedRunning = reportsFreeSlots ? 0 : running;
            int sustained = rateLimit.isPresent()
                    ? (int) Math.min(record.slots(), Math.ceil(ratePerSecond * meanNanos / 1e9))
                    : record.slots();
            int room = rateLimit
                    .map(bucket -> (int) bucket.level(time.ticker().nanos()))
                    .orElse(Integer.MAX_VALUE);
            return new TargetLoad(
                    ++reports,
                    sustained,
                    reportedRunning,
                    queue.size(),
                    (long) meanNanos,
                    false,
                    false,
                    room,
                    Optional.empty());
        }

        private void clearCounts() {
            calls = 0;
            busyNanos = 0;
        }

        private void finish(FakeCall call) {
            running--;
            if (!hanging) {
                ServiceLevel level = new ServiceLevel(SERVICE, ServiceLevel.OPEN);
                call.end(CallResult.answered(ok()).withLevels(ImmutableList.of(level)));
            }
            if (!queue.isEmpty()) {
                start(queue.poll());
            }
        }
    }
}
