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
    private static final Duration GONE_WITHIN = Duration.ofSeconds(12);
    private static final Duration HEALED_WITHIN = Duration.ofSeconds(20);

    private final List<EventKind> events = new ArrayList<>();
    private MembershipFleet fleet = fleet(1, List.of(MembershipFleet.address(0, 0), MembershipFleet.address(1, 0)));

    /**
     * Students open a list; one of the nodes behind it dies with its VM, and its connections just fall silent. Calls
     * sent there wait for nothing until nobody chooses it any more. Cause: no one says that a dead VM is dead.
     */
    @Test
    void silentNodeIsSuspectedThenGone() {
        start(2, 5);
        FleetNode lost = node(0, 3);
        fleet.kill(lost);
        assertEventually(
                SUSPECTED_WITHIN, other -> !isLocal(other, lost) || sees(other, lost) != Reachability.REACHABLE);
        assertEventually(GONE_WITHIN, other -> !shows(other, lost));
    }

    /**
     * A VM is stopped for half a minute by its host and wakes. Meanwhile others took it for failed; it heard nobody for
     * as long and holds an old view. If it believed its own silence it would accuse all its neighbours and withdraw its
     * target, and lists served there would be gone although all is well.
     */
    @Test
    void pausedNodeComesBackAndAccusesNobody() {
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
     * The lines of one data centre are cut for a minute. Its callers and those of the others go on with the targets on
     * their own side; the targets of the other side stay known but marked, and are used again when the lines are back.
     * Were they taken for lost, all would have to be learned anew at once.
     */
    @Test
    void dataCentreThatIsCutOffIsKeptAndComesBack() {
        start(3, 5);
        fleet.network().block((from, to) -> isIn(from, "dc0") != isIn(to, "dc0"));
        assertEventually(
                Duration.ofSeconds(15),
                other -> fleet.nodes().stream()
                        .allMatch(far -> shows(other, far) && (isSameSide(other, far) == isReached(other, far))));
        fleet.network().block((from, to) -> false);
        assertEventually(HEALED_WITHIN, this::seesAll);
        assertThat(events).doesNotContain(EventKind.MEMBER_FAILED);
    }

    /**
     * A switch fails and half of a data centre no longer reaches the other half. Either half, if it took the other one
     * for dead, would serve with half of the targets although callers may reach all. So the missing are kept, marked.
     */
    @Test
    void massLossIsTakenForAPartition() {
        start(1, 8);
        fleet.network().block((from, to) -> isOdd(from) != isOdd(to));
        fleet.advance(Duration.ofSeconds(30));
        assertThat(events).contains(EventKind.PARTITION_SUSPECTED).doesNotContain(EventKind.MEMBER_FAILED);
        assertThat(fleet.running())
                .allMatch(other -> fleet.nodes().stream()
                        .allMatch(far -> shows(other, far)
                                && isReached(other, far) == (isOdd(other.descriptor()) == isOdd(far.descriptor()))));
        fleet.network().block((from, to) -> false);
        assertEventually(HEALED_WITHIN, this::seesAll);
    }

    /**
     * As above, but both halves still reach another data centre. Each node is silent to some and alive to others.
     * Were it suspected and freed again with each probe, every view would change all the time, and messages would
     * fill the lines.
     */
    @Test
    void partialCutNeitherTakesNodesOutNorFillsTheLines() {
        start(2, 8);
        fleet.network().block((from, to) -> isIn(from, "dc0") && isIn(to, "dc0") && isOdd(from) != isOdd(to));
        fleet.advance(Duration.ofSeconds(30));
        long before = messagesSent();
        fleet.advance(Duration.ofMinutes(2));
        assertThat(events).contains(EventKind.MEMBER_SUSPECTED).doesNotContain(EventKind.MEMBER_FAILED);
        assertThat((messagesSent() - before) / 120.0 / fleet.running().size()).isLessThan(20);
        fleet.network().block((from, to) -> false);
        assertEventually(HEALED_WITHIN, this::seesAll);
    }

    /**
     * A rack loses power: a quarter of a data centre is gone at the same moment, observers of one another among them.
     * Callers must soon be sent to the rest only, in every data centre.
     */
    @Test
    void rackFailureIsNoticedEverywhere() {
        start(2, 12);
        List<FleetNode> rack = List.of(node(0, 1), node(0, 4), node(0, 7));
        rack.forEach(fleet::kill);
        assertEventually(Duration.ofSeconds(25), other -> rack.stream().noneMatch(lost -> shows(other, lost)));
        assertEventually(HEALED_WITHIN, this::seesAll);
    }

    /**
     * All VMs of a data centre are restarted while the platform store is down and only one seed of the settings lives,
     * in the other data centre. They must find each other all the same, and none may call the store in a row.
     */
    @Test
    void storeDownAtStartDoesNotMatter() {
        fleet.store().setFaults(fleet.store().faults().withDown(true));
        start(2, 4);
        for (int number = 0; number < 4; number++) {
            fleet.restart(node(0, number));
        }
        assertEventually(Duration.ofSeconds(10), this::seesAll);
        assertThat(fleet.store().counts().reads()).isLessThan(12);
    }

    /**
     * Every seed of the settings has been replaced by VMs with other addresses. A new node asks them in vain; it reads
     * the seed record, which lists living nodes, and joins.
     */
    @Test
    void newNodeFindsOthersByTheSeedRecord() {
        start(2, 4);
        fleet.advance(Duration.ofMinutes(2));
        fleet.kill(node(0, 0));
        fleet.kill(node(1, 0));
        fleet.advance(Duration.ofSeconds(30));
        fleet.start(0, 9);
        assertEventually(Duration.ofSeconds(10), this::seesAll);
    }

    /**
     * Three nodes start with no seeds at all, at the same time. Each is alone at first; the seed record brings them
     * together.
     */
    @Test
    void nodesWithoutSeedsMeetByTheSeedRecord() {
        fleet = fleet(2, List.of());
        for (int number = 0; number < 3; number++) {
            fleet.start(0, number);
        }
        assertEventually(Duration.ofSeconds(60), this::seesAll);
    }

    /**
     * A VM is replaced by one of the same id at the same address, within a second. Callers must be sent to the new
     * start, and what it has not run must not be looked for there: the old start is gone for good.
     */
    @Test
    void replacedVmTakesTheIdOver() {
        start(2, 5);
        FleetNode old = node(0, 3);
        fleet.kill(old);
        fleet.advance(Duration.ofSeconds(1));
        FleetNode next = fleet.restart(old);
        assertEventually(Duration.ofSeconds(4), other -> shows(other, next) && !shows(other, old));
    }

    /**
     * A frozen VM was replaced by one of its id at another address and then wakes. Were it to claim its id back,
     * callers would be sent to one and the other in turn. It gives way and says what to do.
     */
    @Test
    void frozenNodeThatWasReplacedGivesWay() {
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
     * The messages to one node are lost while its own arrive. To it all others seem dead. If it accused them callers
     * would lose every target of that data centre for a while, because of one bad VM.
     */
    @Test
    void deafNodeDoesNotTakeOthersOut() {
        start(2, 8);
        FleetNode deaf = node(0, 5);
        fleet.network().block((from, to) -> to.equals(deaf.descriptor()));
        for (int second = 0; second < 40; second++) {
            fleet.advance(Duration.ofSeconds(1));
            assertThat(others(deaf)).allMatch(other -> others(deaf).stream().allMatch(far -> shows(other, far)));
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

    /** Whether the node shows exactly the running nodes as reachable, each with its target. */
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
