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

/** One entry, the node with the gate of a scarce service, which is its home, and one with that of another. */
final class CreditKeeperTest {

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
    private final CreditKeeper keeper =
            fleet.add(ranked.get(1), Optional::empty).keeper();

    private void addGate(NodeId node, ServiceName service) {
        fleet.add(node, () -> Optional.of(new GateLoad(service, FULL)))
                .reporter()
                .onLoad(FULL);
    }

    private void learn(ServiceCost... costs) {
        keeper.ended(TREE, new TreeCost(ImmutableList.copyOf(costs)), true);
    }

    private void demand(int trees) {
        for (int i = 0; i < trees; i++) {
            keeper.demand(TREE, CLAIMANT);
        }
    }

    private void shortage(ServiceName service) {
        keeper.observe(ImmutableList.of(new ServiceLevel(service, ServiceLevel.OPEN / 2)));
    }

    @Test
    void treesAreGovernedOnceTheHomeHasAnswered() {
        addGate(home, CreditFleet.SCARCE);
        learn(new ServiceCost(CreditFleet.SCARCE, 1, 10_000_000));
        timers.advance(Duration.ofMillis(5));
        shortage(CreditFleet.SCARCE);
        assertThat(keeper.governs(TREE)).isFalse();
        timers.advance(Duration.ofMillis(60));
        assertThat(keeper.governs(TREE)).isTrue();
        assertThat(keeper.governs(new TreeKey("search", TREE.service())))
                .as("a kind of which nothing is known")
                .isFalse();
    }

    /** Guards against a tree that uses the room of one service and then fails at the other. */
    @Test
    void treeTakesCreditsOfAllItsShortServicesOrOfNone() {
        addGate(home, CreditFleet.SCARCE);
        addGate(NodeId.of("c0-c"), OTHER);
        learn(new ServiceCost(CreditFleet.SCARCE, 1, 10_000_000), new ServiceCost(OTHER, 1, 500_000_000));
        timers.advance(Duration.ofMillis(5));
        shortage(CreditFleet.SCARCE);
        shortage(OTHER);
        demand(3);
        for (int i = 0; i < 60; i++) {
            timers.advance(MILLI);
            demand(i % 10 == 0 ? 1 : 0);
        }
        double held = held(CreditFleet.SCARCE);
        int taken = 0;
        for (int i = 0; i < 150; i++) {
            timers.advance(MILLI);
            taken += keeper.take(TREE, CLAIMANT) ? 1 : 0;
        }
        assertThat(taken).isBetween(1, 3);
        assertThat(held)
                .isLessThanOrEqualTo(keeper.snapshot().stream()
                        .filter(row -> row.service().equals(CreditFleet.SCARCE.value()))
                        .mapToDouble(row -> row.ranks().get(0).granted())
                        .sum());
    }

    private double held(ServiceName service) {
        return keeper.snapshot().stream()
                .filter(row -> row.service().equals(service.value()))
                .flatMap(row -> row.ranks().stream())
                .mapToDouble(CreditSnapshot.RankRow::held)
                .sum();
    }

    /** Guards against requests that wait for a home that no longer answers. */
    @Test
    void levelsDecideSoonAfterTheHomeIsSilent() {
        addGate(home, CreditFleet.SCARCE);
        learn(new ServiceCost(CreditFleet.SCARCE, 1, 10_000_000));
        timers.advance(Duration.ofMillis(5));
        shortage(CreditFleet.SCARCE);
        demand(1);
        timers.advance(Duration.ofMillis(60));
        fleet.setLinked((from, to) -> false);
        for (int i = 0; i < 400 && keeper.governs(TREE); i++) {
            demand(1);
            timers.advance(MILLI);
        }
        assertThat(keeper.governs(TREE)).isFalse();
    }

    /** Guards against credits that are held for a service that has room again. */
    @Test
    void nothingIsGovernedTwoSecondsAfterTheShortage() {
        addGate(home, CreditFleet.SCARCE);
        learn(new ServiceCost(CreditFleet.SCARCE, 1, 10_000_000));
        timers.advance(Duration.ofMillis(5));
        shortage(CreditFleet.SCARCE);
        demand(1);
        timers.advance(Duration.ofMillis(2100));
        assertThat(keeper.governs(TREE)).isFalse();
        int messages = fleet.messages();
        demand(5);
        assertThat(fleet.messages()).isEqualTo(messages);
    }

    @Test
    void treeThatWasNotStartedGivesItsCreditsBack() {
        addGate(home, CreditFleet.SCARCE);
        learn(new ServiceCost(CreditFleet.SCARCE, 1, 10_000_000));
        timers.advance(Duration.ofMillis(5));
        shortage(CreditFleet.SCARCE);
        for (int i = 0; i < 130; i++) {
            demand(1);
            timers.advance(MILLI);
        }
        double held = held(CreditFleet.SCARCE);
        assertThat(keeper.take(TREE, CLAIMANT)).isTrue();
        keeper.giveBack(TREE, CLAIMANT);
        assertThat(held(CreditFleet.SCARCE)).isEqualTo(held);
    }
}
