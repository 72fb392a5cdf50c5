package io.beryldock.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.membership.TargetRecord;
import io.beryldock.routing.FakeFleet.FakeTarget;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Measures load distribution, tail latency and reaction to faults on a manual clock and prints each figure. */
class TargetChooserMeasurementTest {

    private static final int CALLERS = 20;
    private static final int TARGETS = 9;
    private static final int SLOTS = 8;
    private static final double RATE = 11;

    private static FakeFleet fleet(long seed) {
        FakeFleet fleet = new FakeFleet(seed, CALLERS);
        for (int i = 0; i < TARGETS; i++) {
            fleet.add("holdings-" + i, FakeFleet.OWN, SLOTS);
        }
        return fleet;
    }

    private static double share(FakeFleet fleet, FakeTarget target) {
        int sum = fleet.targets.values().stream().mapToInt(t -> t.calls).sum();
        return (double) target.calls / sum;
    }

    private static void print(String format, Object... values) {
        System.out.printf("measured: " + format + "%n", values);
    }

    @Test
    void spreadOverEqualTargets() {
        FakeFleet fleet = fleet(1);
        fleet.run(Duration.ofSeconds(60), RATE);
        double most = fleet.targets.values().stream()
                .mapToDouble(t -> share(fleet, t))
                .max()
                .orElseThrow();
        double least = fleet.targets.values().stream()
                .mapToDouble(t -> share(fleet, t))
                .min()
                .orElseThrow();
        print("equal targets: share %.3f to %.3f, p99 %.1f ms", least, most, millis(fleet, 99));
        assertThat(most * TARGETS).isLessThan(1.15);
        assertThat(least * TARGETS).isGreaterThan(0.85);
    }

    /** Guards against slow requests after one of nine targets of a service becomes five times slower. */
    @Test
    void oneSlowTargetOfNine() {
        double random = slowTargetMillis("random", TargetChooserMeasurementTest::pickRandom);
        double inFlight = slowTargetMillis("two by in flight", TargetChooserMeasurementTest::pickByInFlight);
        double chooser = slowTargetMillis("chooser", TargetChooserMeasurementTest::pickByChooser);
        assertThat(chooser).isLessThan(0.5 * random).isLessThan(0.6 * inFlight);
    }

    private interface FleetPicker {
        Optional<TargetRecord> pick(FakeFleet fleet, TargetChooser chooser);
    }

    private static double slowTargetMillis(String name, FleetPicker picker) {
        FakeFleet fleet = fleet(2);
        fleet.picker = chooser -> picker.pick(fleet, chooser);
        fleet.run(Duration.ofSeconds(20), RATE);
        double before = millis(fleet, 99);
        FakeTarget slow = fleet.targets.values().iterator().next();
        slow.slowness = 5;
        fleet.run(Duration.ofSeconds(5), RATE);
        double first = share(fleet, slow);
        fleet.run(Duration.ofSeconds(60), RATE);
        double later = share(fleet, slow);
        print("slow target, %s: share %.3f in the first 5 s, %.3f after", name, first, later);
        print("slow target, %s: p99 %.1f ms before, %.1f ms with it", name, before, millis(fleet, 99));
        return millis(fleet, 99);
    }

    private static Optional<TargetRecord> pickByChooser(FakeFleet fleet, TargetChooser chooser) {
        return chooser.choose(fleet.directory, FakeFleet.SERVICE, Set.of(), Set.of());
    }

    private static Optional<TargetRecord> pickRandom(FakeFleet fleet, TargetChooser chooser) {
        List<FakeTarget> all = List.copyOf(fleet.targets.values());
        return Optional.of(all.get(fleet.random.nextInt(all.size())).record);
    }

    private static Optional<TargetRecord> pickByInFlight(FakeFleet fleet, TargetChooser chooser) {
        if (chooser.snapshot().isEmpty()) {
            return pickByChooser(fleet, chooser);
        }
        List<TargetHealth> all = chooser.snapshot();
        TargetHealth one = all.get(fleet.random.nextInt(all.size()));
        TargetHealth other = all.get(fleet.random.nextInt(all.size()));
        TargetHealth better = one.inFlight() <= other.inFlight() ? one : other;
        return Optional.of(fleet.targets.get(better.node()).record);
    }

    private static double millis(FakeFleet fleet, double percentile) {
        return fleet.latency.getValueAtPercentile(percentile) / 1e6;
    }

    /** Guards against the overload of a new, cold target that all callers see without load at the same time. */
    @Test
    void shareOfANewTargetRampsUp() {
        FakeFleet fleet = fleet(3);
        fleet.run(Duration.ofSeconds(10), RATE);
        FakeTarget added = fleet.add("holdings-new", FakeFleet.OWN, SLOTS);
        List<Double> shares = new ArrayList<>();
        for (int second = 0; second < 15; second++) {
            fleet.run(Duration.ofSeconds(1), RATE);
            shares.add(share(fleet, added) * (TARGETS + 1));
        }
        print("new target: share of a fair one, second by second %s", rounded(shares));
        assertThat(shares.get(0)).isLessThan(0.5);
        assertThat(shares.stream().mapToDouble(s -> s).max().orElseThrow()).isLessThan(1.7);
        assertThat(shares.subList(10, 15).stream().mapToDouble(s -> s).average().orElseThrow())
                .isGreaterThan(0.8);
    }

    private static List<String> rounded(List<Double> list) {
        return list.stream().map(value -> String.format("%.2f", value)).toList();
    }

    /** Guards against calls to a target whose process is stopped: its connections stay open, but it does not answer. */
    @Test
    void hangingTargetIsAvoided() {
        FakeFleet fleet = fleet(4);
        fleet.run(Duration.ofSeconds(10), RATE);
        FakeTarget target = fleet.targets.values().iterator().next();
        target.hanging = true;
        List<Integer> sent = new ArrayList<>();
        for (int second = 0; second < 10; second++) {
            fleet.run(Duration.ofSeconds(1), RATE);
            sent.add(target.calls);
        }
        print("silent target: calls to it of %d a second, second by second %s", (int) (CALLERS * RATE), sent);
        assertThat(sent.get(3)).isLessThan((int) (CALLERS * RATE * 0.03));
        target.hanging = false;
        int seconds = 0;
        do {
            fleet.run(Duration.ofSeconds(1), RATE);
            seconds++;
        } while (share(fleet, target) * TARGETS < 0.8 && seconds < 60);
        print("silent target: back at 0.8 of its share %d s after it runs again", seconds);
        assertThat(seconds).isLessThanOrEqualTo(45);
    }

    /** After the connection to a node breaks, its target gets no calls; it is probed once the node answers again. */
    @Test
    void targetOfALostNodeGetsNoCallsUntilTheNodeAnswers() {
        FakeFleet fleet = fleet(5);
        fleet.run(Duration.ofSeconds(10), RATE);
        FakeTarget lost = fleet.targets.values().iterator().next();
        lost.refusesConnections = true;
        fleet.choosers.forEach(chooser -> chooser.onNodeLost(lost.record.node().id()));
        fleet.run(Duration.ofMillis(900), RATE);
        assertThat(lost.calls).isZero();
        fleet.run(Duration.ofSeconds(30), RATE);
        print("lost node: %d of %d calls probed it in 30 s", fleet.failed, fleet.answered + fleet.failed);
        assertThat(fleet.failed).isLessThan(fleet.answered / 50);
        lost.refusesConnections = false;
        fleet.choosers.forEach(
                chooser -> chooser.onNodeAnswered(lost.record.node().id()));
        int seconds = 0;
        do {
            fleet.run(Duration.ofSeconds(1), RATE);
            seconds++;
        } while (share(fleet, lost) * TARGETS < 0.8 && seconds < 60);
        print("lost node: back at 0.8 of its share %d s after it answers", seconds);
        assertThat(seconds).isLessThanOrEqualTo(20);
    }

    /**
     * Guards against refusals during a surge that exceeds the local targets while those of another data centre are
     * idle.
     */
    @Test
    void surgeSpillsOverAndTheShareFallsAfterwards() {
        FakeFleet fleet = new FakeFleet(6, CALLERS);
        List<FakeTarget> near = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            near.add(fleet.add("near-" + i, FakeFleet.OWN, SLOTS));
            fleet.add("far-" + i, FakeFleet.OTHER, SLOTS);
        }
        double capacity = 3 * SLOTS / 0.020 / CALLERS;
        fleet.run(Duration.ofSeconds(10), capacity * 0.5);
        double quiet = near.stream().mapToDouble(t -> share(fleet, t)).sum();
        fleet.run(Duration.ofSeconds(5), capacity * 1.5);
        double firstRefused = (double) fleet.refused / (fleet.refused + fleet.answered);
        fleet.run(Duration.ofSeconds(20), capacity * 1.5);
        double laterRefused = (double) fleet.refused / (fleet.refused + fleet.answered);
        fleet.run(Duration.ofSeconds(60), capacity * 0.5);
        fleet.run(Duration.ofSeconds(10), capacity * 0.5);
        double after = near.stream().mapToDouble(t -> share(fleet, t)).sum();
        print(
                "surge: own share %.3f quiet, refused %.3f in the first 5 s, %.3f after",
                quiet, firstRefused, laterRefused);
        print("surge: own share %.3f one minute after it", after);
        assertThat(quiet).isEqualTo(1);
        assertThat(laterRefused).isLessThan(0.05);
        assertThat(after).isGreaterThan(0.9);
    }

    /** Measures the benefit of retries at other targets after a refusal, at loads near capacity and far above it. */
    @Test
    void retriesElsewhereAfterARefusal() {
        double capacity = TARGETS * SLOTS / 0.020 / CALLERS;
        List<Double> answered = new ArrayList<>();
        for (double load : new double[] {0.9, 1.0, 1.5, 3.0}) {
            for (int retries : new int[] {0, 1, 2, TARGETS}) {
                FakeFleet fleet = fleet(7);
                fleet.retriesAfterRefusal = retries;
                fleet.run(Duration.ofSeconds(5), capacity * load);
                fleet.run(Duration.ofSeconds(20), capacity * load);
                int ended = fleet.answered + fleet.refused + fleet.failed;
                double share = (double) fleet.answered / ended;
                answered.add(share);
                print(
                        "load %.1f, %d tries elsewhere: answered %.4f, sent %.2f a request",
                        load, retries, share, (double) fleet.sent / ended);
            }
        }
        assertThat(answered.get(5)).isGreaterThanOrEqualTo(answered.get(4));
    }
}
