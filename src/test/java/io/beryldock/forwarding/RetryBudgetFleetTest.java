package io.beryldock.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.ServiceName;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Load pattern: targets refuse calls and lose answers, so that calls are repeated at every layer of the call graph. */
final class RetryBudgetFleetTest {

    private static final int NODES_PER_SERVICE = 3;
    private static final Duration CALM = Duration.ofSeconds(12);
    private static final Duration TROUBLE = Duration.ofSeconds(8);

    private static RetryFleet calmFleet(long seed) {
        RetryFleet fleet = new RetryFleet(seed, NODES_PER_SERVICE);
        fleet.run(CALM);
        return fleet;
    }

    private static void assertWithinBound(RetryFleet fleet) {
        assertThat(fleet.count.repeats()).as("repeats of all services").isPositive();
        assertThat(fleet.count.firstExcess()).isEmpty();
    }

    private static void assertNodesCountAllRepeats(RetryFleet fleet) {
        assertThat(fleet.count.repeats()).isPositive();
        assertThat(fleet.sentRepeats()).isEqualTo(fleet.count.repeats());
    }

    /** Guards against budgets that are granted anew by restarts, with the repeats of runs above added to them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void boundHoldsWhenNodesRestartAtOnceWhileTargetsRefuseAndLoseAnswers(long seed) {
        RetryFleet fleet = calmFleet(seed);
        fleet.killAndStart(0.9, Duration.ofMillis(500));
        fleet.run(Duration.ofSeconds(2));
        fleet.refuse(RetryFleet.HOLDINGS, 0.6);
        fleet.run(TROUBLE);
        fleet.refuse(RetryFleet.HOLDINGS, 0);
        fleet.killAndStart(0.9, Duration.ofMillis(500));
        fleet.run(Duration.ofSeconds(1));
        fleet.lose(RetryFleet.LISTS, 0.5);
        fleet.run(Duration.ofSeconds(4));
        fleet.refuse(RetryFleet.CATALOGUE, 0.5);
        fleet.run(TROUBLE);
        assertWithinBound(fleet);
    }

    /** Guards against repeats of the layers above that add up at the service beneath them all. */
    @Test
    void boundHoldsWhenAnswersAreLostAtEachLayer() {
        RetryFleet fleet = calmFleet(11);
        fleet.lose(RetryFleet.LISTS, 0.4);
        fleet.lose(RetryFleet.ORDERS, 0.4);
        fleet.lose(RetryFleet.CATALOGUE, 0.4);
        fleet.lose(RetryFleet.HOLDINGS, 0.4);
        fleet.run(TROUBLE.multipliedBy(2));
        assertWithinBound(fleet);
    }

    /** Guards against nodes that spend their share in full while others are far above theirs. */
    @Test
    void boundHoldsWhenRequestsEnterAtFewNodes() {
        RetryFleet fleet = new RetryFleet(21, NODES_PER_SERVICE);
        fleet.uneven(0.9);
        fleet.run(CALM);
        fleet.lose(RetryFleet.LISTS, 0.5);
        fleet.refuse(RetryFleet.HOLDINGS, 0.3);
        fleet.run(TROUBLE.multipliedBy(2));
        assertWithinBound(fleet);
    }

    /** Guards against a budget that both sides of a cut spend. */
    @Test
    void boundHoldsWhenADataCentreIsCutOff() {
        RetryFleet fleet = calmFleet(31);
        fleet.cut(0);
        fleet.lose(RetryFleet.LISTS, 0.3);
        fleet.refuse(RetryFleet.HOLDINGS, 0.5);
        fleet.run(TROUBLE);
        fleet.heal();
        fleet.run(TROUBLE);
        assertWithinBound(fleet);
    }

    /** Guards against calls that raise the bound at each target to which no connection could be made. */
    @Test
    void boundHoldsAfterConnectionsToTargetsFailed() {
        RetryFleet fleet = calmFleet(71);
        fleet.disconnect(RetryFleet.HOLDINGS, 1);
        fleet.run(TROUBLE);
        fleet.disconnect(RetryFleet.HOLDINGS, 0);
        fleet.refuse(RetryFleet.HOLDINGS, 0.6);
        fleet.run(TROUBLE);
        assertWithinBound(fleet);
    }

    /** Guards against repeats that go on when the requests that they are a share of have become few. */
    @Test
    void boundHoldsWhenRequestsBecomeFew() {
        RetryFleet fleet = calmFleet(41);
        fleet.lose(RetryFleet.LISTS, 0.5);
        fleet.refuse(RetryFleet.HOLDINGS, 0.4);
        fleet.run(Duration.ofSeconds(3));
        fleet.load(5);
        fleet.run(TROUBLE.multipliedBy(2));
        assertWithinBound(fleet);
    }

    /** Guards against calls that are taken for first ones although a target rejected an earlier attempt above them. */
    @Test
    void nodesCountAsRepeatsWhatTargetsReceiveAsRepeats() {
        RetryFleet fleet = calmFleet(51);
        fleet.refuse(RetryFleet.CATALOGUE, 0.3);
        fleet.lose(RetryFleet.ORDERS, 0.1);
        fleet.run(TROUBLE);
        assertNodesCountAllRepeats(fleet);
    }

    /** Guards against calls of a repeated run that are taken for first ones because its node has given the run up. */
    @Test
    void nodesCountAsRepeatsTheCallsOfRepeatedRunsThatTheyHaveGivenUp() {
        RetryFleet fleet = calmFleet(61);
        fleet.drop(RetryFleet.ORDERS, 0.3);
        fleet.run(TROUBLE);
        assertNodesCountAllRepeats(fleet);
    }

    /** Guards against a bound that is kept by not repeating at all. */
    @Test
    void nearlyAllRequestsSucceedWhileATenthOfTheCallsAreRefused() {
        RetryFleet fleet = calmFleet(81);
        fleet.refuse(RetryFleet.HOLDINGS, 0.1);
        assertThat(fleet.answeredShareWhileRunning(TROUBLE)).isGreaterThan(0.95);
        assertWithinBound(fleet);
    }

    /** Guards against sequences of restarts, cuts, shifts of load and failing targets that no other test names. */
    @ParameterizedTest
    @ValueSource(longs = {100, 101, 102, 103, 104, 105, 106, 107})
    void boundHoldsUnderRandomTroubles(long seed) {
        RetryFleet fleet = calmFleet(seed);
        fleet.lose(RetryFleet.LISTS, 0.3);
        fleet.refuse(RetryFleet.HOLDINGS, 0.3);
        for (int i = 0; i < 12; i++) {
            trouble(fleet);
            fleet.run(Duration.ofMillis(500 + fleet.random.nextInt(3000)));
        }
        assertWithinBound(fleet);
    }

    private static void trouble(RetryFleet fleet) {
        ServiceName service = RetryFleet.SERVICES.get(fleet.random.nextInt(RetryFleet.SERVICES.size()));
        switch (fleet.random.nextInt(6)) {
            case 0 -> fleet.killAndStart(fleet.random.nextDouble(), Duration.ofMillis(fleet.random.nextInt(1500)));
            case 1 -> fleet.refuse(service, Math.max(0, fleet.random.nextDouble() - 0.3));
            case 2 -> fleet.lose(service, Math.max(0, fleet.random.nextDouble() - 0.3));
            case 3 -> fleet.cut(fleet.random.nextInt(3));
            case 4 -> fleet.heal();
            default -> {
                fleet.load(5 + fleet.random.nextInt(80));
                fleet.uneven(fleet.random.nextDouble());
            }
        }
    }
}
