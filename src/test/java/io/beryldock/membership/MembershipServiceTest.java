package io.beryldock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.measure.MembershipFleet;
import io.beryldock.measure.MembershipFleet.FleetNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class MembershipServiceTest {

    private static final Duration LEAVING_BOUND = Duration.ofSeconds(3);

    private final MembershipFleet fleet =
            MembershipFleet.create(1, MembershipSettings.of(List.of(MembershipFleet.address(0, 0))));

    @BeforeEach
    void startFleet() {
        for (int number = 0; number < 6; number++) {
            fleet.start(0, number);
            fleet.start(1, number);
        }
        fleet.advance(Duration.ofSeconds(20));
    }

    @Test
    void nodesWithOneSeedKnowEachOthersTargets() {
        assertThat(fleet.running())
                .allMatch(node ->
                        node.service().directory().targetsOf(node.target()).size() == 12);
    }

    @Test
    void leavingTargetIsKnownEverywhereWithinThreeSeconds() {
        FleetNode leaving = fleet.running().get(7);
        fleet.announce(leaving, TargetState.LEAVING);
        Duration time = fleet.timeUntilAll(node -> record(node, leaving).state() == TargetState.LEAVING, LEAVING_BOUND);
        assertThat(time).isLessThan(LEAVING_BOUND);
    }

    @Test
    void leaveCompletesAfterAllNodesReceivedIt() {
        FleetNode leaving = fleet.running().get(7);
        CompletableFuture<Void> left = fleet.leave(leaving);
        fleet.advance(Duration.ofSeconds(1));
        assertThat(left).isNotDone();
        assertThat(fleet.running()).allMatch(node -> record(node, leaving).state() == TargetState.LEAVING);
        fleet.advance(Duration.ofSeconds(2));
        assertThat(left).isCompleted();
        assertThat(fleet.running())
                .noneMatch(node -> node.service().directory().nodes().containsValue(leaving.descriptor()));
    }

    /**
     * The process of a target hangs while its VM and node keep running, so that calls to it time out. Guards against
     * the target staying in the directory: without renewed announcements its node must withdraw it.
     */
    @Test
    void targetWithoutRenewalIsWithdrawn() {
        FleetNode hung = fleet.running().get(3);
        fleet.hangTarget(hung);
        fleet.advance(MembershipSettings.of(List.of()).targetExpiry().plus(Duration.ofSeconds(3)));
        assertThat(fleet.running())
                .allMatch(node -> node.service().directory().nodes().containsValue(hung.descriptor()))
                .noneMatch(node -> node.service().directory().targetsOf(hung.target()).stream()
                        .anyMatch(target -> target.node().equals(hung.descriptor())));
    }

    @Test
    void nodeReportedUnreachableByTrafficIsSuspectedSooner() {
        FleetNode lost = fleet.running().get(4);
        FleetNode hinting = fleet.running().get(6);
        fleet.kill(lost);
        hinting.service().hintUnreachable(lost.descriptor().id());
        fleet.advance(Duration.ofMillis(2600));
        assertThat(hinting.service().directory().reachability(lost.descriptor()))
                .isEqualTo(Reachability.SUSPECTED);
    }

    @Test
    void heartbeatsDoNotCallTheStore() {
        fleet.advance(Duration.ofMinutes(3));
        long reads = fleet.store().counts().reads();
        long writes = fleet.store().counts().writes();
        fleet.advance(Duration.ofMinutes(30));
        // In each of the two data centres, one node reads the seed record about every 5 minutes.
        assertThat(fleet.store().counts().reads() - reads).isLessThan(30);
        assertThat(fleet.store().counts().writes()).isEqualTo(writes);
    }

    private static TargetRecord record(FleetNode at, FleetNode node) {
        return at.service().directory().targetsOf(node.target()).stream()
                .filter(target -> target.node().equals(node.descriptor()))
                .findFirst()
                .orElseThrow();
    }
}
