package io.beryldock.credit;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.NodeId;
import io.beryldock.credit.CreditSimulation.Tree;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Load pattern: entry nodes of four data centres start trees of eight calls, two levels below the root, at 2.5 times
 * the capacity of the service that is called there.
 */
final class CreditSimulationTest {

    private static final double USUAL = 0.6;
    private static final double OVERLOAD = 2.5;

    /** Time after which entry nodes know of the shortage from admission levels and home nodes have answered. */
    private static final Duration LEARNING = Duration.ofSeconds(1);

    private static final Duration WINDOW = Duration.ofMillis(100);

    /** The capacity of a window plus that of one round. */
    private static final double WINDOW_BOUND = 1.5;

    private static CreditSimulation overloaded(boolean credits, long seed) {
        CreditSimulation simulation = new CreditSimulation(credits, seed);
        simulation.run(Duration.ofSeconds(2), USUAL);
        simulation.run(LEARNING, OVERLOAD);
        return simulation;
    }

    private static void assertConserved(CreditSimulation simulation) {
        assertThat(simulation.mostCovered(0, WINDOW))
                .as("slot time of covered trees in a window, relative to its capacity")
                .isLessThanOrEqualTo(WINDOW_BOUND);
    }

    /** Guards against work of upper levels that is wasted because the last level has no capacity. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void overloadWastesNoWorkAndUsesTheCapacity(long seed) {
        CreditSimulation simulation = overloaded(true, seed);
        long from = simulation.now();
        double busy = simulation.busyNanos();
        simulation.run(Duration.ofSeconds(5), OVERLOAD);
        assertThat(simulation.startedSince(from)).allMatch(Tree::covered);
        assertThat(simulation.failedShare(from)).isZero();
        assertThat(simulation.usedShare(busy, Duration.ofSeconds(5))).isGreaterThan(0.9);
        assertConserved(simulation);
    }

    /** Load pattern: the upper levels of trees take up to a second, so that started trees show late at the gates. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void slowUpperLevelsWasteLittleWork(long seed) {
        CreditSimulation simulation = new CreditSimulation(true, seed);
        simulation.setUpperLevelTime(200, 1000);
        simulation.run(Duration.ofSeconds(2), USUAL);
        simulation.run(Duration.ofSeconds(2), OVERLOAD);
        long from = simulation.now();
        double busy = simulation.busyNanos();
        simulation.run(Duration.ofSeconds(5), OVERLOAD);
        assertThat(simulation.wastedShare(from)).isLessThan(0.05);
        assertThat(simulation.usedShare(busy, Duration.ofSeconds(5))).isGreaterThan(0.85);
        assertConserved(simulation);
    }

    /** Guards against an overload that outlasts its cause because the available capacity is no longer claimed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void requestsStartAtOnceWithinASecondOfTheEnd(long seed) {
        CreditSimulation simulation = overloaded(true, seed);
        simulation.run(Duration.ofSeconds(5), OVERLOAD);
        simulation.run(Duration.ofSeconds(1), USUAL);
        long from = simulation.now();
        simulation.run(Duration.ofSeconds(2), USUAL);
        ImmutableList<Tree> trees = simulation.startedSince(from);
        assertThat(trees).hasSizeGreaterThan((int) (0.95 * 2 * USUAL * CreditSimulation.CAPACITY));
        assertThat(trees.stream().mapToLong(Tree::waitedNanos).average().orElseThrow())
                .isLessThan((double) Duration.ofMillis(100).toNanos());
        assertThat(simulation.failedShare(from)).isZero();
    }

    /** Guards against messages and waits that continue after the end of a shortage. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void nothingIsSentWithoutShortage(long seed) {
        CreditSimulation simulation = overloaded(true, seed);
        simulation.run(Duration.ofSeconds(12), USUAL);
        int before = simulation.fleet().messages();
        long from = simulation.now();
        simulation.run(Duration.ofSeconds(2), USUAL);
        assertThat(simulation.fleet().messages()).isEqualTo(before);
        assertThat(simulation.startedSince(from)).noneMatch(Tree::covered);
    }

    /**
     * Admission levels arrive three hops late and waste a quarter of the work; with credits that capacity serves
     * requests.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void creditsServeMoreThanLevels(long seed) {
        CreditSimulation levels = overloaded(false, seed);
        CreditSimulation credits = overloaded(true, seed);
        long from = levels.now();
        levels.run(Duration.ofSeconds(5), OVERLOAD);
        credits.run(Duration.ofSeconds(5), OVERLOAD);
        assertThat(credits.wastedShare(from)).isLessThan(0.01);
        assertThat(levels.wastedShare(from)).isGreaterThan(0.15);
        assertThat(served(credits, from)).isGreaterThan(1.15 * served(levels, from));
    }

    private static double served(CreditSimulation simulation, long from) {
        return simulation.startedSince(from).stream()
                .filter(tree -> !tree.failed())
                .count();
    }

    /** Loss of a home node: its part is granted twice for one round at most, and the next home node takes over. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void nextHomeTakesOverFromALostOne(long seed) {
        CreditSimulation simulation = overloaded(true, seed);
        NodeId lost = simulation.fleet().home("c0");
        simulation.fleet().setReachable((from, to) -> !from.equals(lost) && !to.equals(lost));
        simulation.loseEntries(lost::equals);
        simulation.run(Duration.ofSeconds(1), OVERLOAD);
        long from = simulation.now();
        double busy = simulation.busyNanos();
        simulation.run(Duration.ofSeconds(1), OVERLOAD);
        assertThat(simulation.failedShare(from)).isLessThan(0.02);
        assertThat(simulation.usedShare(busy, Duration.ofSeconds(1))).isGreaterThan(0.85);
        assertConserved(simulation);
    }

    /** A data centre is cut off and reconnected: no side grants the capacity of the other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void isolatedDataCentreGrantsItsOwnCapacity(long seed) {
        CreditSimulation simulation = overloaded(true, seed);
        CreditFleet fleet = simulation.fleet();
        fleet.setReachable((from, to) ->
                fleet.centreOf(from).equals("c0") == fleet.centreOf(to).equals("c0"));
        long from = simulation.now();
        double busy = simulation.busyNanos();
        simulation.run(Duration.ofSeconds(2), OVERLOAD);
        fleet.setReachable((one, other) -> true);
        simulation.run(Duration.ofSeconds(2), OVERLOAD);
        assertThat(simulation.failedShare(from)).isLessThan(0.02);
        assertThat(simulation.usedShare(busy, Duration.ofSeconds(4))).isGreaterThan(0.85);
        assertConserved(simulation);
    }

    /** Loss of entry nodes together with their credits: the others get their part. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void partOfLostEntriesGoesToTheOthers(long seed) {
        CreditSimulation simulation = overloaded(true, seed);
        simulation.loseEntries(entry -> simulation.fleet().centreOf(entry).equals("c0"));
        simulation.run(Duration.ofMillis(500), OVERLOAD);
        long from = simulation.now();
        double busy = simulation.busyNanos();
        simulation.run(Duration.ofSeconds(2), OVERLOAD);
        assertThat(simulation.failedShare(from)).isLessThan(0.01);
        assertThat(simulation.usedShare(busy, Duration.ofSeconds(2))).isGreaterThan(0.9);
        assertConserved(simulation);
    }

    /** Messages that arrive twice or late cause no double grants. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void repeatedAndLateMessagesGrantNothingTwice(long seed) {
        CreditSimulation simulation = overloaded(true, seed);
        simulation.fleet().setTransit(Duration.ofMillis(10), true);
        simulation.run(Duration.ofSeconds(1), OVERLOAD);
        long from = simulation.now();
        simulation.run(Duration.ofSeconds(3), OVERLOAD);
        assertThat(simulation.startedSince(from)).allMatch(Tree::covered);
        assertThat(simulation.failedShare(from)).isLessThan(0.02);
        assertConserved(simulation);
    }

    /** No home node answers in time: admission levels decide, as they do without credits. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void levelsDecideWhereNoHomeAnswersInTime(long seed) {
        CreditSimulation simulation = overloaded(true, seed);
        simulation.fleet().setReachable((from, to) -> false);
        simulation.run(Duration.ofMillis(300), OVERLOAD);
        long from = simulation.now();
        simulation.run(Duration.ofSeconds(1), OVERLOAD);
        long coveredTrees =
                simulation.startedSince(from).stream().filter(Tree::covered).count();
        // Entry nodes that are home nodes themselves need no message.
        assertThat((double) coveredTrees / simulation.startedSince(from).size()).isLessThan(0.25);
    }

    /** Without credits in the deployment, no questions or reports are sent, and no tree is held back. */
    @ParameterizedTest
    @ValueSource(longs = {1})
    void disabledCreditsAreNotRequired(long seed) {
        CreditSimulation simulation = overloaded(false, seed);
        assertThat(simulation.startedSince(0)).noneMatch(Tree::covered);
        assertThat(simulation.fleet().messages()).isZero();
    }
}
