package io.beryldock.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.DataCentre;
import io.beryldock.routing.FakeFleet.FakeTarget;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Simulates 40 callers that use the same reports of 13 targets, which differ in speed and slow down when nearly full.
 */
final class PlacementReplayTest {

    private static final int SLOTS = 16;
    private static final int CALLERS = 40;
    private static final double[] SPEEDS = {0.7, 0.7, 1.6};
    private static final Duration STEP = Duration.ofMillis(600);
    private static final int STEPS = 16;
    private static final double LONG_SHARE = 0.02;

    /** Mean service time over both kinds of calls, relative to that of a short call. */
    private static final double MEAN_SERVICE_TIME = 1 + 9 * LONG_SHARE;

    private final FakeFleet fleet = new FakeFleet(7);
    private final List<FakeTarget> targets = new ArrayList<>();

    private record Figures(double busiestToMean, double refusedShare, double p95Millis) {}

    private void add(DataCentre dataCentre, int callers, int count, Placement placement) {
        ChooserSettings settings = ChooserSettings.defaults().withPlacement(placement, Duration.ofMillis(10));
        fleet.longShare = LONG_SHARE;
        fleet.retriesAfterRefusal = 1;
        fleet.addCallers(dataCentre, targets.size(), callers, settings);
        for (int i = 0; i < count; i++) {
            FakeTarget target = fleet.add(dataCentre.value() + i, dataCentre, SLOTS);
            target.slowness = SPEEDS[i % SPEEDS.length];
            target.knee = 0.95;
            target.kneeSlowness = 1.3;
            targets.add(target);
        }
    }

    private double callsPerSecond(double occupancy) {
        double mean = FakeFleet.MEAN_NANOS * MEAN_SERVICE_TIME / 1e9;
        double capacity = targets.stream()
                .mapToDouble(target -> SLOTS / (mean * target.slowness))
                .sum();
        return occupancy * capacity / CALLERS;
    }

    /** Runs the load in steps, in each of which {@code slowTargets} other targets are slow. */
    private Figures simulate(double occupancy, int slowTargets) {
        double rate = callsPerSecond(occupancy);
        fleet.run(Duration.ofSeconds(5), rate);
        double[] busy = new double[targets.size()];
        double refused = 0;
        double ended = 0;
        double p95 = 0;
        for (int step = 0; step < STEPS; step++) {
            List<FakeTarget> slow = new ArrayList<>();
            for (int i = 0; i < slowTargets; i++) {
                slow.add(targets.get((step * slowTargets + i) % busy.length));
            }
            slow.forEach(target -> target.slowness *= 2.5);
            fleet.run(STEP, rate);
            slow.forEach(target -> target.slowness /= 2.5);
            refused += fleet.refused;
            ended += fleet.answered + fleet.refused;
            p95 += fleet.latency.getValueAtPercentile(95) / 1e6 / STEPS;
            for (int i = 0; i < busy.length; i++) {
                busy[i] += targets.get(i).busyNanos;
            }
        }
        return new Figures(busiestToMean(busy), refused / ended, p95);
    }

    private static double busiestToMean(double[] busy) {
        double sum = 0;
        double busiest = 0;
        for (double nanos : busy) {
            sum += nanos;
            busiest = Math.max(busiest, nanos);
        }
        return busiest * busy.length / sum;
    }

    private static Figures oneCentre(Placement placement) {
        PlacementReplayTest simulation = new PlacementReplayTest();
        simulation.add(FakeFleet.OWN, CALLERS, 13, placement);
        return print("one data centre, " + placement, simulation.simulate(0.7, 2));
    }

    private static Figures threeCentres(Placement placement) {
        PlacementReplayTest simulation = new PlacementReplayTest();
        simulation.add(DataCentre.of("a"), 9, 5, placement);
        simulation.add(DataCentre.of("b"), 16, 5, placement);
        simulation.add(DataCentre.of("c"), 15, 3, placement);
        return print("three data centres, " + placement, simulation.simulate(0.7, 0));
    }

    private static Figures print(String name, Figures figures) {
        System.out.println(name + ": " + figures);
        return figures;
    }

    /** Guards against calls that are refused while other targets have free slots, when targets become slow in turn. */
    @Test
    void reportedLoadReducesRefusals() {
        Figures own = oneCentre(Placement.OWN_CALLS);
        Figures completion = oneCentre(Placement.COMPLETION);
        Figures free = oneCentre(Placement.FREE_SLOTS);
        assertThat(completion.refusedShare()).isLessThan(0.7 * own.refusedShare());
        assertThat(completion.p95Millis()).isLessThan(own.p95Millis()).isLessThan(free.p95Millis());
        assertThat(completion.busiestToMean()).isLessThan(1.15);
    }

    /** Guards against calls that are refused for a target's rate while other targets of the service have room. */
    @Test
    void callsMoveFromTargetsThatNameALowRate() {
        PlacementReplayTest simulation = new PlacementReplayTest();
        for (String name : new String[] {"a", "b", "c", "d"}) {
            simulation.add(DataCentre.of(name), CALLERS / 4, 1, Placement.COMPLETION);
        }
        double rate = simulation.callsPerSecond(0.2);
        simulation.fleet.run(Duration.ofSeconds(5), rate);
        double share = simulation.fleet.sent / 5.0 / 4;
        simulation.targets.get(0).limit(0.45 * share);
        simulation.targets.get(2).limit(0.45 * share);
        simulation.fleet.run(Duration.ofSeconds(1), rate);
        simulation.fleet.run(Duration.ofSeconds(10), rate);
        double ended = simulation.fleet.answered + simulation.fleet.refused;
        double refusedShare = simulation.fleet.refused / ended;
        System.out.printf(
                "two of four targets at 45%% of their rate: refused %.4f, sent again %.4f%n",
                refusedShare, simulation.fleet.sent / ended - 1);
        assertThat(refusedShare).isLessThan(0.01);
    }

    /**
     * Guards against a data centre that is full while another one with more targets and fewer callers has free slots.
     */
    @Test
    void loadIsBalancedAcrossDataCentres() {
        Figures own = threeCentres(Placement.OWN_CALLS);
        Figures completion = threeCentres(Placement.COMPLETION);
        assertThat(completion.busiestToMean()).isLessThan(1.15).isLessThan(own.busiestToMean());
        assertThat(completion.refusedShare()).isLessThanOrEqualTo(own.refusedShare());
        assertThat(completion.p95Millis()).isLessThan(own.p95Millis());
    }

    /** Guards against a target that attracts calls by reporting free slots while it is slow or failing. */
    @Test
    void measuredCallsOutweighReports() {
        add(FakeFleet.OWN, CALLERS, 13, Placement.COMPLETION);
        FakeTarget slow = targets.get(0);
        slow.reportsFreeSlots = true;
        slow.slowness = 20;
        FakeTarget failing = targets.get(1);
        failing.reportsFreeSlots = true;
        failing.failsCalls = true;
        fleet.run(Duration.ofSeconds(5), callsPerSecond(0.5));
        fleet.run(Duration.ofSeconds(5), callsPerSecond(0.5));
        double fairShare = fleet.sent / 13.0;
        assertThat(slow.calls / fairShare).isLessThan(0.1);
        assertThat(failing.calls / fairShare).isLessThan(0.02);
    }

    /** Guards against calls that are still sent to a hanging target, which neither runs nor refuses them. */
    @Test
    void hangingTargetIsAvoided() {
        add(FakeFleet.OWN, CALLERS, 13, Placement.COMPLETION);
        fleet.run(Duration.ofSeconds(3), callsPerSecond(0.5));
        targets.get(0).hanging = true;
        List<Integer> perMille = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            fleet.run(Duration.ofMillis(300), callsPerSecond(0.5));
            perMille.add(1000 * targets.get(0).calls / fleet.sent);
        }
        System.out.println("calls to a silent target in steps of 300 ms, of 1000: " + perMille);
        assertThat(perMille.get(1)).isLessThan(20);
        assertThat(perMille.subList(5, 10)).allMatch(calls -> calls < 10);
    }

    /** Guards against overload of a data centre that returns after a partition with all its targets cold. */
    @Test
    void loadOfAReturnedDataCentreRampsUp() {
        add(DataCentre.of("a"), 20, 6, Placement.COMPLETION);
        add(DataCentre.of("b"), 20, 7, Placement.COMPLETION);
        List<FakeTarget> partitioned = targets.subList(0, 6);
        double rate = callsPerSecond(0.4);
        fleet.run(Duration.ofSeconds(2), rate);
        partitioned.forEach(target -> target.refusesConnections = true);
        fleet.run(Duration.ofSeconds(10), rate);
        partitioned.forEach(target -> target.refusesConnections = false);
        List<Integer> calls = new ArrayList<>();
        for (int second = 0; second < 30; second++) {
            fleet.run(Duration.ofSeconds(1), rate);
            calls.add(
                    100 * partitioned.stream().mapToInt(target -> target.calls).sum() / fleet.sent);
        }
        System.out.println("share of a returned data centre by second, percent: " + calls);
        assertThat(calls.get(0)).isLessThan(15);
        assertThat(calls.get(29)).isGreaterThan(30);
    }
}
