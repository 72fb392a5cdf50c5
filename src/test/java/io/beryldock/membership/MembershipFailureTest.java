package io.beryldock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.measure.MembershipFleet;
import io.beryldock.measure.MembershipFleet.FleetNode;
import io.beryldock.timeline.EventKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

final class MembershipFailureTest {

    private static final Duration SUSPECTED_WITHIN = Duration.ofSeconds(6);
    private static final Duration REMOVED_WITHIN = Duration.ofSeconds(12);
    private static final Duration RECOVERED_WITHIN = Duration.ofSeconds(20);

    private final List<EventKind> events = new ArrayList<>();
    private MembershipFleet fleet = fleet(1, List.of(MembershipFleet.address(0, 0), MembershipFleet.address(1, 0)));

    /**
     * A VM dies together with its node, and its connections time out without being closed. Guards against calls being
     * sent to the dead node indefinitely, because no notification of its death exists.
     */
    @Test
    void unresponsiveNodeIsSuspectedThenRemoved() {
        start(2, 5);
        FleetNode lost = node(0, 3);
        fleet.kill(lost);
        assertEventually(
                SUSPECTED_WITHIN, other -> !isLocal(other, lost) || sees(other, lost) != Reachability.REACHABLE);
        assertEventually(REMOVED_WITHIN, other -> !shows(other, lost));
    }

    /**
     * A VM is paused for 30 s and resumes with a stale view, while the other nodes have marked it as failed. Guards
     * against a resumed node that attributes the missing messages to its neighbours, suspects them and withdraws its
     * own target.
     */
    @Test
    void resumedNodeRejoinsAndSuspectsNoOtherNode() {
        start(2, 5);
        FleetNode paused = node(0, 2);
        fleet.pause(paused);
        fleet.advance(Duration.ofSeconds(30));
        assertThat(fleet.running()).noneMatch(other -> shows(other, paused));
        events.clear();
        fleet.resume(paused);
        assertEventually(Duration.ofSeconds(3), this::seesAll);
        fleet.advance(Duration.ofSeconds(30));
        assertThat(events).contains(EventKind.NODE_RESUMED_AFTER_PAUSE);
        assertThat(events).doesNotContain(EventKind.MEMBER_SUSPECTED, EventKind.TARGET_LOST);
    }

    /**
     * The network to one data centre fails for a short time. Guards against the targets of the other side being
     * discarded: they must remain known, marked as unreachable, and be used again after the network has recovered.
     */
    @Test
    void disconnectedDataCentreIsKeptAndBecomesReachableAgain() {
        start(3, 5);
        fleet.network().block((from, to) -> isIn(from, "dc0") != isIn(to, "dc0"));
        assertEventually(
                Duration.ofSeconds(15),
                other -> fleet.nodes().stream()
                        .allMatch(remote ->
                                shows(other, remote) && (isSameSide(other, remote) == isReached(other, remote))));
        fleet.network().block((from, to) -> false);
        assertEventually(RECOVERED_WITHIN, this::seesAll);
        assertThat(events).doesNotContain(EventKind.MEMBER_FAILED);
    }

    /**
     * A switch fails, so that half of a data centre cannot reach the other half. Guards against each half marking the
     * other as failed and serving with half of the targets, although callers may reach all of them.
     */
    @Test
    void massLossIsTreatedAsPartition() {
        start(1, 8);
        fleet.network().block((from, to) -> isOdd(from) != isOdd(to));
        fleet.advance(Duration.ofSeconds(30));
        assertThat(events).contains(EventKind.PARTITION_SUSPECTED).doesNotContain(EventKind.MEMBER_FAILED);
        assertThat(fleet.running())
                .allMatch(other -> fleet.nodes().stream()
                        .allMatch(remote -> shows(other, remote)
                                && isReached(other, remote)
                                        == (isOdd(other.descriptor()) == isOdd(remote.descriptor()))));
        fleet.network().block((from, to) -> false);
        assertEventually(RECOVERED_WITHIN, this::seesAll);
    }

    /**
     * A switch fails as above, but both halves still reach another data centre, so each node answers some nodes and not
     * others. Guards against repeated suspicions and refutations, which would change every view continuously and flood
     * the network with messages.
     */
    @Test
    void partialPartitionNeitherRemovesNodesNorFloodsNetwork() {
        start(2, 8);
        fleet.network().block((from, to) -> isIn(from, "dc0") && isIn(to, "dc0") && isOdd(from) != isOdd(to));
        fleet.advance(Duration.ofSeconds(30));
        long before = messagesSent();
        fleet.advance(Duration.ofMinutes(2));
        assertThat(events).contains(EventKind.MEMBER_SUSPECTED).doesNotContain(EventKind.MEMBER_FAILED);
        assertThat((messagesSent() - before) / 120.0 / fleet.running().size()).isLessThan(20);
        fleet.network().block((from, to) -> false);
        assertEventually(RECOVERED_WITHIN, this::seesAll);
    }

    /**
     * A rack loses power, so that a quarter of a data centre fails at once, including nodes that observe each other.
     * Guards against failed nodes remaining in the directories of any data centre.
     */
    @Test
    void rackFailureIsDetectedInEveryDataCentre() {
        start(2, 12);
        List<FleetNode> rack = List.of(node(0, 1), node(0, 4), node(0, 7));
        rack.forEach(fleet::kill);
        assertEventually(Duration.ofSeconds(25), other -> rack.stream().noneMatch(lost -> shows(other, lost)));
        assertEventually(RECOVERED_WITHIN, this::seesAll);
    }

    /**
     * All VMs of a data centre are restarted while the platform store is unreachable and only one seed of the settings
     * is running, in the other data centre. Guards against nodes that need the store to find each other or that call it
     * without back-off.
     */
    @Test
    void nodesFindEachOtherWhenStoreIsDownAtStart() {
        fleet.store().setFaults(fleet.store().faults().withDown(true));
        start(2, 4);
        for (int number = 0; number < 4; number++) {
            fleet.restart(node(0, number));
        }
        assertEventually(Duration.ofSeconds(10), this::seesAll);
        assertThat(fleet.store().counts().reads()).isLessThan(12);
    }

    /**
     * All seeds of the settings have been replaced by VMs with other addresses. Guards against a new node that cannot
     * join: it must find live nodes by the seed record.
     */
    @Test
    void newNodeJoinsBySeedRecordWhenAllSeedsAreReplaced() {
        start(2, 4);
        fleet.advance(Duration.ofMinutes(2));
        fleet.kill(node(0, 0));
        fleet.kill(node(1, 0));
        fleet.advance(Duration.ofSeconds(30));
        fleet.start(0, 9);
        assertEventually(Duration.ofSeconds(10), this::seesAll);
    }

    /**
     * Three nodes start at the same time without any seeds in the settings. Guards against nodes that remain isolated:
     * they must find each other by the seed record.
     */
    @Test
    void nodesWithoutSeedsFindEachOtherBySeedRecord() {
        fleet = fleet(2, List.of());
        for (int number = 0; number < 3; number++) {
            fleet.start(0, number);
        }
        assertEventually(Duration.ofSeconds(60), this::seesAll);
    }

    /**
     * A VM is replaced within one second by another one with the same id and address. Guards against requests, or
     * queries about requests in flight, being sent to the old incarnation.
     */
    @Test
    void replacementVmTakesOverId() {
        start(2, 5);
        FleetNode old = node(0, 3);
        fleet.kill(old);
        fleet.advance(Duration.ofSeconds(1));
        FleetNode next = fleet.restart(old);
        assertEventually(Duration.ofSeconds(4), other -> shows(other, next) && !shows(other, old));
    }

    /**
     * A frozen VM is replaced by one with the same id at another address and then resumes. Guards against both claiming
     * the id, which would send callers to each of them in turn: the frozen node must become inactive.
     */
    @Test
    void replacedFrozenNodeBecomesSupersededAfterResume() {
        start(2, 5);
        FleetNode frozen = node(0, 3);
        fleet.pause(frozen);
        fleet.advance(Duration.ofSeconds(20));
        FleetNode next = fleet.startAt(0, 3, MembershipFleet.address(0, 77));
        fleet.advance(Duration.ofSeconds(20));
        fleet.resume(frozen);
        fleet.advance(Duration.ofSeconds(30));
        assertThat(frozen.service().snapshot().superseded()).isTrue();
        assertThat(others(frozen)).allMatch(other -> shows(other, next) && !shows(other, frozen));
    }

    /**
     * All messages to one node are lost while its own messages arrive, so that all other nodes appear unresponsive to
     * it. Guards against one such node making callers lose every target of its data centre.
     */
    @Test
    void nodeThatReceivesNothingDoesNotRemoveOtherNodes() {
        start(2, 8);
        FleetNode affected = node(0, 5);
        fleet.network().block((from, to) -> to.equals(affected.descriptor()));
        for (int second = 0; second < 40; second++) {
            fleet.advance(Duration.ofSeconds(1));
            assertThat(others(affected))
                    .allMatch(other -> others(affected).stream().allMatch(remote -> shows(other, remote)));
        }
    }

    private static MembershipFleet fleet(long seed, List<java.net.InetSocketAddress> seeds) {
        return MembershipFleet.create(seed, MembershipSettings.of(seeds));
    }

    private void start(int centres, int members) {
        for (int number = 0; number < members; number++) {
            for (int centre = 0; centre < centres; centre++) {
                fleet.start(centre, number);
            }
        }
        fleet.advance(Duration.ofSeconds(20));
        assertThat(fleet.running()).allMatch(this::seesAll);
        fleet.setEvents((kind, request, subject, detail) -> events.add(kind));
    }

    private long messagesSent() {
        return fleet.running().stream()
                .mapToLong(node -> node.service().statistics().messagesSent())
                .sum();
    }

    private void assertEventually(Duration bound, Predicate<FleetNode> condition) {
        assertThat(fleet.timeUntilAll(condition, bound)).isLessThan(bound);
    }

    private FleetNode node(int centre, int number) {
        String id = "dc" + centre + "-node-" + number;
        return fleet.nodes().stream()
                .filter(node -> node.descriptor().id().value().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private List<FleetNode> others(FleetNode node) {
        return fleet.running().stream().filter(other -> other != node).toList();
    }

    /** Whether the directory of the node contains exactly the running nodes, all reachable and with their targets. */
    private boolean seesAll(FleetNode node) {
        Directory directory = node.service().directory();
        return fleet.running().stream()
                        .allMatch(other -> shows(node, other)
                                && isReached(node, other)
                                && directory.targetsOf(other.target()).stream()
                                        .anyMatch(target -> target.node().equals(other.descriptor())))
                && directory.nodes().size() == fleet.running().size();
    }

    private static boolean shows(FleetNode node, FleetNode other) {
        return node.service().directory().nodes().containsValue(other.descriptor());
    }

    private static Reachability sees(FleetNode node, FleetNode other) {
        return node.service().directory().reachability(other.descriptor());
    }

    private static boolean isReached(FleetNode node, FleetNode other) {
        return sees(node, other) == Reachability.REACHABLE;
    }

    private static boolean isLocal(FleetNode node, FleetNode other) {
        return node.descriptor().dataCentre().equals(other.descriptor().dataCentre());
    }

    private static boolean isSameSide(FleetNode node, FleetNode other) {
        return isIn(node.descriptor(), "dc0") == isIn(other.descriptor(), "dc0");
    }

    private static boolean isIn(NodeDescriptor node, String centre) {
        return node.dataCentre().value().equals(centre);
    }

    private static boolean isOdd(NodeDescriptor node) {
        return Integer.parseInt(node.id().value().replaceAll(".*-", "")) % 2 == 1;
    }
}
