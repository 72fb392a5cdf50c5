package io.beryldock.credit;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.call.NodeId;
import io.beryldock.call.NodeRanking;
import io.beryldock.call.ServiceLevel;
import io.beryldock.call.ServiceName;
import io.beryldock.call.TargetLoad;
import io.beryldock.call.TreeCost;
import io.beryldock.call.TreeCost.ServiceCost;
import io.beryldock.time.ManualTimerService;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Fleet of one entry node, one node whose gate serves a scarce service and which is its home node, and one node with
 * the gate of another service.
 */
final class EntryCreditsTest {

    private static final ServiceName OTHER = ServiceName.of("scanstore");
    private static final TreeKey TREE = new TreeKey("browse", ServiceName.of("catalogue"));
    private static final Claimant CLAIMANT = new Claimant(1, Optional.empty());
    private static final TargetLoad FULL = new TargetLoad(1, 10, 10, 0, 10_000_000, false, false);
    private static final Duration MILLI = Duration.ofMillis(1);

    private final ManualTimerService timers = ManualTimerService.create();
    private final CreditFleet fleet = new CreditFleet(timers, true);
    private final ImmutableList<NodeId> ranked =
            NodeRanking.of(ImmutableList.of(NodeId.of("c0-a"), NodeId.of("c0-b")), CreditFleet.SCARCE.value());
    private final NodeId home = ranked.get(0);
    private final EntryCredits entryCredits =
            fleet.add(ranked.get(1), Optional::empty).entryCredits();

    private void addGate(NodeId node, ServiceName service) {
        fleet.add(node, () -> Optional.of(new GateLoad(service, FULL)))
                .reporter()
                .onLoad(FULL);
    }

    private void learn(ServiceCost... costs) {
        entryCredits.recordTreeCost(TREE, new TreeCost(ImmutableList.copyOf(costs)), true);
    }

    private void demand(int trees) {
        for (int i = 0; i < trees; i++) {
            entryCredits.recordDemand(TREE, CLAIMANT);
        }
    }

    private void reportShortage(ServiceName service) {
        entryCredits.observe(ImmutableList.of(new ServiceLevel(service, ServiceLevel.OPEN / 2)));
    }

    @Test
    void treesRequireCreditsOnceTheHomeHasAnswered() {
        addGate(home, CreditFleet.SCARCE);
        learn(new ServiceCost(CreditFleet.SCARCE, 1, 10_000_000));
        timers.advance(Duration.ofMillis(5));
        reportShortage(CreditFleet.SCARCE);
        assertThat(entryCredits.requiresCredits(TREE)).isFalse();
        timers.advance(Duration.ofMillis(60));
        assertThat(entryCredits.requiresCredits(TREE)).isTrue();
        assertThat(entryCredits.requiresCredits(new TreeKey("search", TREE.service())))
                .as("unknown kind of tree")
                .isFalse();
    }

    /** Guards against a tree that uses the capacity of one service and then fails at the other. */
    @Test
    void treeTakesCreditsOfAllItsServicesInShortageOrOfNone() {
        addGate(home, CreditFleet.SCARCE);
        addGate(NodeId.of("c0-c"), OTHER);
        learn(new ServiceCost(CreditFleet.SCARCE, 1, 10_000_000), new ServiceCost(OTHER, 1, 500_000_000));
        timers.advance(Duration.ofMillis(5));
        reportShortage(CreditFleet.SCARCE);
        reportShortage(OTHER);
        demand(3);
        for (int i = 0; i < 60; i++) {
            timers.advance(MILLI);
            demand(i % 10 == 0 ? 1 : 0);
        }
        double held = held(CreditFleet.SCARCE);
        int taken = 0;
        for (int i = 0; i < 150; i++) {
            timers.advance(MILLI);
            taken += entryCredits.take(TREE, CLAIMANT) ? 1 : 0;
        }
        assertThat(taken).isBetween(1, 3);
        assertThat(held)
                .isLessThanOrEqualTo(entryCredits.snapshot().stream()
                        .filter(row -> row.service().equals(CreditFleet.SCARCE.value()))
                        .mapToDouble(row -> row.ranks().get(0).granted())
                        .sum());
    }

    private double held(ServiceName service) {
        return entryCredits.snapshot().stream()
                .filter(row -> row.service().equals(service.value()))
                .flatMap(row -> row.ranks().stream())
                .mapToDouble(CreditSnapshot.RankRow::held)
                .sum();
    }

    /** Guards against requests that keep waiting for a home node that no longer answers. */
    @Test
    void levelsDecideSoonAfterTheHomeIsSilent() {
        addGate(home, CreditFleet.SCARCE);
        learn(new ServiceCost(CreditFleet.SCARCE, 1, 10_000_000));
        timers.advance(Duration.ofMillis(5));
        reportShortage(CreditFleet.SCARCE);
        demand(1);
        timers.advance(Duration.ofMillis(60));
        fleet.setReachable((from, to) -> false);
        for (int i = 0; i < 400 && entryCredits.requiresCredits(TREE); i++) {
            demand(1);
            timers.advance(MILLI);
        }
        assertThat(entryCredits.requiresCredits(TREE)).isFalse();
    }

    /** Guards against credits being required for a service that has capacity again. */
    @Test
    void noCreditsAreRequiredTwoSecondsAfterTheShortage() {
        addGate(home, CreditFleet.SCARCE);
        learn(new ServiceCost(CreditFleet.SCARCE, 1, 10_000_000));
        timers.advance(Duration.ofMillis(5));
        reportShortage(CreditFleet.SCARCE);
        demand(1);
        timers.advance(Duration.ofMillis(2100));
        assertThat(entryCredits.requiresCredits(TREE)).isFalse();
        int messages = fleet.messages();
        demand(5);
        assertThat(fleet.messages()).isEqualTo(messages);
    }

    @Test
    void treeThatWasNotStartedGivesItsCreditsBack() {
        addGate(home, CreditFleet.SCARCE);
        learn(new ServiceCost(CreditFleet.SCARCE, 1, 10_000_000));
        timers.advance(Duration.ofMillis(5));
        reportShortage(CreditFleet.SCARCE);
        for (int i = 0; i < 130; i++) {
            demand(1);
            timers.advance(MILLI);
        }
        double held = held(CreditFleet.SCARCE);
        assertThat(entryCredits.take(TREE, CLAIMANT)).isTrue();
        entryCredits.giveBack(TREE, CLAIMANT);
        assertThat(held(CreditFleet.SCARCE)).isEqualTo(held);
    }
}
