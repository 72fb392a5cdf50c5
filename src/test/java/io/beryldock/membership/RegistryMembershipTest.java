package io.beryldock.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.store.FakeRegistry;
import io.beryldock.store.StorePeers;
import io.beryldock.store.StoreRecovery;
import io.beryldock.store.StoreRevision;
import io.beryldock.store.StoreSharing;
import io.beryldock.time.ManualTimerService;
import io.beryldock.time.Moment;
import io.beryldock.timeline.EventSink;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

final class RegistryMembershipTest {

    private static final ServiceName LISTS = ServiceName.of("lists");
    private static final DepartedStart LEFT = new DepartedStart("i-1", 0);

    private final ManualTimerService timers = ManualTimerService.create();
    private final FakeRegistry registry = new FakeRegistry(timers);
    private final FakeRegistry.View firstView = registry.view();
    private final FakeRegistry.View secondView = registry.view();
    private final RegistryMembership first = membership("n1", 1, firstView);
    private final RegistryMembership second = membership("n2", 2, secondView);

    private RegistryMembership membership(String id, int port, FakeRegistry.View view) {
        NodeDescriptor self = new NodeDescriptor(
                NodeId.of(id), new Incarnation(port, 1), DataCentre.of("gent-a"), new InetSocketAddress(port));
        StoreRecovery recovery = StoreRecovery.create();
        StoreSharing sharing = StoreSharing.create(
                self.id(),
                new StoreSharing.Ports(
                        view, recovery, StorePeers.none(self.id()), timers, Moment.Source.system(), new Random(port)));
        RegistryMembership made = RegistryMembership.create(
                self, new RegistryPorts(view, recovery, sharing, timers, new Random(port), EventSink.none()));
        made.start();
        made.announce(LISTS, 8, TargetState.READY);
        return made;
    }

    private void run(Duration time) {
        timers.advance(time);
    }

    private long targetsAt(RegistryMembership node) {
        return node.directory().targetsOf(LISTS).stream()
                .filter(target -> target.state() == TargetState.READY)
                .count();
    }

    @Test
    void nodesFindEachOtherWithinASecond() {
        run(Duration.ofSeconds(1));
        assertThat(targetsAt(first)).isEqualTo(2);
        assertThat(targetsAt(second)).isEqualTo(2);
    }

    /**
     * The store is unreachable until leases expire, so that all entries are missing when it recovers. Guards against
     * refused requests until every node has written its entry again: known targets must be retained.
     */
    @Test
    void targetsAreRetainedWhileEntriesLapse() {
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        registry.expireLeases();
        run(Duration.ofSeconds(5));
        assertThat(targetsAt(first)).isEqualTo(2);
    }

    /**
     * Guards against entries that are missing long after the store has recovered, so that new nodes find only part of
     * the fleet.
     */
    @Test
    void entryIsWrittenAgainWithinTwoSecondsOfStoreRecovery() {
        run(Duration.ofSeconds(1));
        firstView.setDown(true);
        secondView.setDown(true);
        registry.expireLeases();
        run(Duration.ofSeconds(30));
        firstView.setDown(false);
        secondView.setDown(false);
        run(Duration.ofSeconds(2));
        assertThat(registry.holds(RegistryMembership.PREFIX + "n1")).isTrue();
        assertThat(registry.holds(RegistryMembership.PREFIX + "n2")).isTrue();
    }

    /**
     * The store does not answer for four seconds, and the watches wait on connections that will never answer. Guards
     * against a target added meanwhile receiving no calls from some nodes until ten seconds after recovery.
     */
    @Test
    void unansweredWatchIsReplacedWhenStoreAnswersAgain() {
        run(Duration.ofSeconds(1));
        firstView.setSilent(true);
        run(Duration.ofSeconds(4));
        second.announce(LISTS, 9, TargetState.READY);
        run(Duration.ofMillis(500));
        firstView.setSilent(false);
        run(Duration.ofSeconds(2));
        assertThat(first.directory().targetsOf(LISTS)).anyMatch(target -> target.slots() == 9);
    }

    @Test
    void lapsedEntryOfDeadNodeIsRemovedAfterRetention() {
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        registry.expireLeases();
        run(RegistryMembership.LAPSED_ENTRY_RETENTION.plusSeconds(2));
        assertThat(targetsAt(first)).isEqualTo(1);
    }

    @Test
    void lapsedEntryOfUnresponsiveNodeIsRemovedImmediately() {
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        registry.expireLeases();
        run(Duration.ofSeconds(1));
        first.hintUnreachable(NodeId.of("n2"));
        run(Duration.ofSeconds(1));
        assertThat(targetsAt(first)).isEqualTo(1);
    }

    @Test
    void leavingNodeIsRemovedWithinASecond() {
        run(Duration.ofSeconds(1));
        second.leave();
        run(Duration.ofSeconds(1));
        assertThat(first.directory().node(NodeId.of("n2"))).isEmpty();
    }

    /**
     * Guards against requests that reach a VM running another service, because the address of the earlier VM was
     * reassigned.
     */
    @Test
    void nodeAtReassignedAddressReplacesEarlierNode() {
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        membership("n3", 2, registry.view());
        run(Duration.ofSeconds(1));
        assertThat(first.directory().node(NodeId.of("n2"))).isEmpty();
        assertThat(first.directory().node(NodeId.of("n3"))).isPresent();
    }

    /**
     * Another program overwrites the entry of a node, which continues to renew the lease. Guards against a target that
     * stays missing because the node does not check the content of its entry.
     */
    @Test
    void overwrittenEntryIsWrittenAgain() {
        run(Duration.ofSeconds(1));
        registry.write(RegistryMembership.PREFIX + "n2", ByteString.copyFromUtf8("{\"state\":5}"));
        run(Duration.ofSeconds(1));
        RegistryMembership third = membership("n3", 3, registry.view());
        run(Duration.ofSeconds(1));
        assertThat(third.directory().node(NodeId.of("n2"))).isPresent();
        assertThat(targetsAt(first)).isEqualTo(3);
    }

    /**
     * Another program copies the entry of a node to a different key. Guards against the copy being taken for a new node
     * at the same address, which would remove the healthy node from the directory.
     */
    @Test
    void entryUnderForeignKeyDoesNotReplaceHealthyNode() {
        run(Duration.ofSeconds(1));
        MemberRecord copy = MemberRecord.initial(new NodeDescriptor(
                NodeId.of("n2"),
                new Incarnation(2, 1),
                DataCentre.of("gent-a"),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 2)));
        registry.write(
                RegistryMembership.PREFIX + "stranger",
                MembershipCodec.encode(copy).toByteString());
        run(Duration.ofSeconds(1));
        assertThat(first.directory().nodes().keySet()).containsExactlyInAnyOrder(NodeId.of("n1"), NodeId.of("n2"));
        assertThat(targetsAt(first)).isEqualTo(2);
    }

    @Test
    void leavingTargetIsKnownToOtherNodes() {
        run(Duration.ofSeconds(1));
        second.announce(LISTS, 8, TargetState.LEAVING);
        run(Duration.ofSeconds(1));
        assertThat(targetsAt(first)).isEqualTo(1);
    }

    /**
     * The store loses the record and the lease of a node. Guards against a target that stays missing from the
     * directories.
     */
    @Test
    void recordLostByStoreIsWrittenAgainWithinTwoSeconds() {
        FakeRegistry.Copy empty = registry.copy();
        run(Duration.ofSeconds(4));
        registry.restoreFrom(empty);
        run(Duration.ofSeconds(2));
        assertThat(registry.holds(RegistryMembership.PREFIX + "n1")).isTrue();
        assertThat(registry.holds(RegistryMembership.PREFIX + "n2")).isTrue();
        RegistryMembership third = membership("n3", 3, registry.view());
        run(Duration.ofSeconds(1));
        assertThat(targetsAt(third)).isEqualTo(3);
    }

    /**
     * The store is restored from a copy that holds a leaving target as ready. Guards against requests to the leaving
     * target.
     */
    @Test
    void leavingStateLostByStoreIsWrittenAgain() {
        run(Duration.ofSeconds(4));
        FakeRegistry.Copy ready = registry.copy();
        second.announce(LISTS, 8, TargetState.LEAVING);
        run(Duration.ofSeconds(1));
        registry.restoreFrom(ready);
        run(Duration.ofSeconds(2));
        RegistryMembership third = membership("n3", 3, registry.view());
        run(Duration.ofSeconds(1));
        assertThat(targetsAt(third)).isEqualTo(2);
    }

    /** Guards against a write by every node when the store is restored without any loss of their records. */
    @Test
    void recordPresentInRestoredStoreIsNotWrittenAgain() {
        run(Duration.ofSeconds(4));
        registry.restoreFrom(registry.copy());
        StoreRevision before =
                registry.copy().items().get(RegistryMembership.PREFIX + "n1").revision();
        run(Duration.ofSeconds(4));
        assertThat(registry.copy().items().get(RegistryMembership.PREFIX + "n1").revision())
                .isEqualTo(before);
    }

    /** Guards against requests to a node that has left when the store is restored from a copy with its record. */
    @Test
    void departedNodeIsNotRestoredWithStoreCopy() {
        run(Duration.ofSeconds(4));
        FakeRegistry.Copy copy = registry.copy();
        second.leave();
        run(Duration.ofSeconds(1));
        registry.restoreFrom(copy);
        run(Duration.ofSeconds(1));
        assertThat(first.directory().node(NodeId.of("n2"))).isEmpty();
    }

    /**
     * The store is restored from a copy that holds a leaving target as ready. Guards against requests to the target
     * until its node has written the current record again.
     */
    @Test
    void olderRecordOfSameIncarnationReplacesNoRecord() {
        run(Duration.ofSeconds(4));
        FakeRegistry.Copy copy = registry.copy();
        second.announce(LISTS, 8, TargetState.LEAVING);
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        registry.restoreFrom(copy);
        run(Duration.ofSeconds(3));
        assertThat(targetsAt(first)).isEqualTo(1);
    }

    /**
     * Guards against a healthy node being removed from the directory because the restored store holds the record of an
     * earlier node at the same address.
     */
    @Test
    void nodeAtReassignedAddressIsKeptWhenStoreLosesItsRecord() {
        run(Duration.ofSeconds(4));
        secondView.setDown(true);
        FakeRegistry.Copy copy = registry.copy();
        FakeRegistry.View thirdView = registry.view();
        membership("n3", 2, thirdView);
        run(Duration.ofSeconds(4));
        thirdView.setDown(true);
        registry.restoreFrom(copy);
        run(Duration.ofSeconds(3));
        assertThat(first.directory().node(NodeId.of("n3"))).isPresent();
    }

    private List<DepartedStart> departuresFoundBy(RegistryMembership node) {
        List<DepartedStart> found = new ArrayList<>();
        node.readEarlier(found::addAll);
        run(Duration.ofSeconds(1));
        return found;
    }

    /** Guards against a target that gets requests after its departure was confirmed, because its node was killed. */
    @Test
    void departureIsFoundAfterTheNodeWasKilled() {
        run(Duration.ofSeconds(4));
        CompletableFuture<Void> stored = second.add(LEFT);
        second.announce(LISTS, 8, TargetState.LEAVING);
        run(Duration.ZERO);
        assertThat(stored).isCompleted();
        secondView.setDown(true);
        assertThat(departuresFoundBy(membership("n2", 2, registry.view()))).containsExactly(LEFT);
    }

    /** Guards against the same after a planned restart of the node. */
    @Test
    void departureIsFoundAfterTheNodeWasStopped() {
        run(Duration.ofSeconds(4));
        second.add(LEFT);
        run(Duration.ofSeconds(1));
        second.leave();
        run(Duration.ofSeconds(1));
        assertThat(first.directory().node(NodeId.of("n2"))).isEmpty();
        assertThat(departuresFoundBy(membership("n2", 2, registry.view()))).containsExactly(LEFT);
    }

    /** Guards against the same if the target leaves while its node is stopping. */
    @Test
    void departureThatIsAnnouncedWhileTheNodeStopsIsFound() {
        run(Duration.ofSeconds(4));
        second.leave();
        CompletableFuture<Void> stored = second.add(LEFT);
        run(Duration.ofSeconds(1));
        assertThat(stored).isCompleted();
        assertThat(departuresFoundBy(membership("n2", 2, registry.view()))).containsExactly(LEFT);
    }

    /** Guards against a confirmation that a restart makes untrue, because the store had not taken the departure. */
    @Test
    void departureCompletesOnceTheStoreHoldsIt() {
        run(Duration.ofSeconds(4));
        secondView.setDown(true);
        CompletableFuture<Void> stored = second.add(LEFT);
        second.announce(LISTS, 8, TargetState.LEAVING);
        run(Duration.ofSeconds(3));
        assertThat(stored).isNotDone();
        assertThat(second.add(LEFT)).isNotDone();
        secondView.setDown(false);
        run(Duration.ofSeconds(2));
        assertThat(stored).isCompleted();
        assertThat(second.add(LEFT)).isCompleted();
    }

    /** Guards against departures that a restarted node overwrites before it has read them. */
    @Test
    void nothingIsWrittenBeforeTheDeparturesWereRead() {
        run(Duration.ofSeconds(4));
        second.add(LEFT);
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        FakeRegistry.View view = registry.view();
        view.setSilent(true);
        RegistryMembership restarted = membership("n2", 2, view);
        run(Duration.ofSeconds(3));
        view.setSilent(false);
        assertThat(departuresFoundBy(restarted)).containsExactly(LEFT);
        run(Duration.ofSeconds(2));
        assertThat(targetsAt(first)).isEqualTo(2);
    }

    /** Guards against a departed target that a restarted node takes for a running one, as it can't read its entry. */
    @Test
    void unreadableDeparturesAreNotTakenForNone() {
        registry.write(RegistryRecord.DEPARTURES_PREFIX + "n3", ByteString.copyFromUtf8("no departures"));
        AtomicBoolean read = new AtomicBoolean();
        membership("n3", 3, registry.view()).readEarlier(earlier -> read.set(true));
        run(Duration.ofSeconds(4));
        assertThat(read).isFalse();
    }

    /** Guards against departures that are forgotten by the second of two restarts. */
    @Test
    void departuresAreKeptAcrossSeveralRestarts() {
        run(Duration.ofSeconds(4));
        second.add(LEFT);
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        FakeRegistry.View view = registry.view();
        RegistryMembership restarted = membership("n2", 2, view);
        run(Duration.ofSeconds(4));
        DepartedStart later = new DepartedStart("later", 5);
        restarted.add(later);
        run(Duration.ofSeconds(1));
        view.setDown(true);
        assertThat(departuresFoundBy(membership("n2", 2, registry.view()))).containsExactly(LEFT, later);
    }

    /** Guards against a departure that an earlier write of the record, applied late by the store, removes again. */
    @Test
    void departureIsFoundAfterALateWriteOfAnEarlierRecord() {
        run(Duration.ofSeconds(4));
        secondView.delayNextWrite(Duration.ofSeconds(6));
        second.announce(LISTS, 9, TargetState.READY);
        run(Duration.ofSeconds(3));
        CompletableFuture<Void> stored = second.add(LEFT);
        second.announce(LISTS, 9, TargetState.LEAVING);
        run(Duration.ofSeconds(1));
        assertThat(stored).isCompleted();
        run(Duration.ofSeconds(3));
        secondView.setDown(true);
        assertThat(departuresFoundBy(membership("n2", 2, registry.view()))).containsExactly(LEFT);
    }

    /** Guards against a leaving target that other nodes take for ready after a late write of an earlier record. */
    @Test
    void lateWriteOfAnEarlierRecordIsReplaced() {
        run(Duration.ofSeconds(4));
        secondView.delayNextWrite(Duration.ofSeconds(6));
        second.announce(LISTS, 9, TargetState.READY);
        run(Duration.ofSeconds(3));
        second.announce(LISTS, 9, TargetState.LEAVING);
        run(Duration.ofSeconds(5));
        RegistryMembership third = membership("n3", 3, registry.view());
        run(Duration.ofSeconds(1));
        assertThat(targetsAt(third)).isEqualTo(2);
    }

    /** Guards against a departure that is forgotten because the node was down for longer than its lease. */
    @Test
    void departureIsFoundAfterTheLeaseOfTheRecordHasEnded() {
        run(Duration.ofSeconds(4));
        second.add(LEFT);
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        registry.expireLeases();
        run(Duration.ofSeconds(1));
        assertThat(departuresFoundBy(membership("n2", 2, registry.view()))).containsExactly(LEFT);
    }

    /** Guards against a departure that later ones displace while its target may still serve. */
    @Test
    void departureIsFoundAfterSeveralLaterOnes() {
        run(Duration.ofSeconds(4));
        for (int i = 1; i <= 10; i++) {
            second.add(new DepartedStart("i-" + i, 0));
            run(Duration.ofSeconds(1));
        }
        secondView.setDown(true);
        assertThat(departuresFoundBy(membership("n2", 2, registry.view())))
                .hasSize(10)
                .contains(LEFT);
    }

    @Test
    void departureAndStateOfTheTargetTakeOneWrite() {
        run(Duration.ofSeconds(4));
        int calls = secondView.calls();
        long revision = registry.copy().revision();
        second.add(LEFT);
        second.announce(LISTS, 8, TargetState.LEAVING);
        run(Duration.ofMillis(100));
        assertThat(registry.copy().revision()).isEqualTo(revision + 1);
        assertThat(secondView.calls()).isLessThanOrEqualTo(calls + 2);
    }
}
