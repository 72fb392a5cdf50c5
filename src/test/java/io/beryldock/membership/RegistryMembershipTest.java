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
import java.util.Random;
import org.junit.jupiter.api.Test;

final class RegistryMembershipTest {

    private static final ServiceName LISTS = ServiceName.of("lists");

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
     * Story: the store is away for minutes and its leases run out; when it is back every node sees all entries gone and
     * refuses every request until the others have written theirs again. What was known is kept meanwhile.
     */
    @Test
    void targetsAreKeptWhileTheirEntriesLapse() {
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        registry.lapse();
        run(Duration.ofSeconds(5));
        assertThat(targetsAt(first)).isEqualTo(2);
    }

    /** Story: entries that lapsed are missing after the store's return, and new nodes find half of the fleet. */
    @Test
    void entryIsBackWithinTwoSecondsOfTheStoresReturn() {
        run(Duration.ofSeconds(1));
        firstView.setDown(true);
        secondView.setDown(true);
        registry.lapse();
        run(Duration.ofSeconds(30));
        firstView.setDown(false);
        secondView.setDown(false);
        run(Duration.ofSeconds(2));
        assertThat(registry.holds(RegistryMembership.PREFIX + "n1")).isTrue();
        assertThat(registry.holds(RegistryMembership.PREFIX + "n2")).isTrue();
    }

    /**
     * Story: the store goes silent for four seconds. A target that was added meanwhile gets no calls from some nodes
     * for ten seconds after the store's return: their watches wait on connections that answer nothing any more.
     */
    @Test
    void silentWatchIsReplacedWhenTheStoreAnswersAgain() {
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
    void entryOfADeadNodeIsForgottenInTheEnd() {
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        registry.lapse();
        run(RegistryMembership.LAPSE_HOLD.plusSeconds(2));
        assertThat(targetsAt(first)).isEqualTo(1);
    }

    @Test
    void lapsedEntryOfANodeThatDoesNotAnswerIsForgottenAtOnce() {
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        registry.lapse();
        run(Duration.ofSeconds(1));
        first.hintUnreachable(NodeId.of("n2"));
        run(Duration.ofSeconds(1));
        assertThat(targetsAt(first)).isEqualTo(1);
    }

    @Test
    void nodeThatLeavesIsGoneAtOnce() {
        run(Duration.ofSeconds(1));
        second.leave();
        run(Duration.ofSeconds(1));
        assertThat(first.directory().node(NodeId.of("n2"))).isEmpty();
    }

    /** Story: requests for lists reach a VM that now runs orders, since its address was used again. */
    @Test
    void addressUsedAgainReplacesTheEarlierNode() {
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        membership("n3", 2, registry.view());
        run(Duration.ofSeconds(1));
        assertThat(first.directory().node(NodeId.of("n2"))).isEmpty();
        assertThat(first.directory().node(NodeId.of("n3"))).isPresent();
    }

    /**
     * Story: requests for lists find one target less. Another program wrote over the entry of its node, which went on
     * renewing its lease and never looked at what the entry holds.
     */
    @Test
    void entryThatAnotherProgramWroteOverIsWrittenAgain() {
        run(Duration.ofSeconds(1));
        registry.write(RegistryMembership.PREFIX + "n2", ByteString.copyFromUtf8("{\"state\":5}"));
        run(Duration.ofSeconds(1));
        RegistryMembership third = membership("n3", 3, registry.view());
        run(Duration.ofSeconds(1));
        assertThat(third.directory().node(NodeId.of("n2"))).isPresent();
        assertThat(targetsAt(first)).isEqualTo(3);
    }

    /**
     * Story: a sound node gets no requests any more. Another program copied its entry to a key of its own, and whoever
     * read it took the copy for a new node at the same address, in place of the sound one.
     */
    @Test
    void entryUnderAKeyThatIsNotItsOwnPushesNobodyOut() {
        run(Duration.ofSeconds(1));
        MemberRecord copy = MemberRecord.ofStart(new NodeDescriptor(
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
    void leavingTargetIsToldToOthers() {
        run(Duration.ofSeconds(1));
        second.announce(LISTS, 8, TargetState.LEAVING);
        run(Duration.ofSeconds(1));
        assertThat(targetsAt(first)).isEqualTo(1);
    }

    /** Guards against a target that nobody finds any more, as the store lost its record and its lease. */
    @Test
    void recordThatTheStoreLostIsWrittenAgainWithinTwoSeconds() {
        FakeRegistry.Copy empty = registry.copy();
        run(Duration.ofSeconds(4));
        registry.comeBackFrom(empty);
        run(Duration.ofSeconds(2));
        assertThat(registry.holds(RegistryMembership.PREFIX + "n1")).isTrue();
        assertThat(registry.holds(RegistryMembership.PREFIX + "n2")).isTrue();
        RegistryMembership third = membership("n3", 3, registry.view());
        run(Duration.ofSeconds(1));
        assertThat(targetsAt(third)).isEqualTo(3);
    }

    /** Guards against orders to a target that leaves: the store came back with its record from before. */
    @Test
    void leavingThatTheStoreLostIsWrittenAgain() {
        run(Duration.ofSeconds(4));
        FakeRegistry.Copy ready = registry.copy();
        second.announce(LISTS, 8, TargetState.LEAVING);
        run(Duration.ofSeconds(1));
        registry.comeBackFrom(ready);
        run(Duration.ofSeconds(2));
        RegistryMembership third = membership("n3", 3, registry.view());
        run(Duration.ofSeconds(1));
        assertThat(targetsAt(third)).isEqualTo(2);
    }

    /** Guards against a write of every node when the store comes back, though it lost nothing of them. */
    @Test
    void recordThatTheCopyHoldsIsNotWrittenAgain() {
        run(Duration.ofSeconds(4));
        registry.comeBackFrom(registry.copy());
        StoreRevision before =
                registry.copy().items().get(RegistryMembership.PREFIX + "n1").revision();
        run(Duration.ofSeconds(4));
        assertThat(registry.copy().items().get(RegistryMembership.PREFIX + "n1").revision())
                .isEqualTo(before);
    }

    /** Guards against requests to a node that has left: the store came back with its record. */
    @Test
    void nodeThatLeftDoesNotComeBackWithTheStoresCopy() {
        run(Duration.ofSeconds(4));
        FakeRegistry.Copy copy = registry.copy();
        second.leave();
        run(Duration.ofSeconds(1));
        registry.comeBackFrom(copy);
        run(Duration.ofSeconds(1));
        assertThat(first.directory().node(NodeId.of("n2"))).isEmpty();
    }

    /** Guards against requests to a leaving target until its node has written the record again that the store lost. */
    @Test
    void olderRecordOfTheSameStartReplacesNone() {
        run(Duration.ofSeconds(4));
        FakeRegistry.Copy copy = registry.copy();
        second.announce(LISTS, 8, TargetState.LEAVING);
        run(Duration.ofSeconds(1));
        secondView.setDown(true);
        registry.comeBackFrom(copy);
        run(Duration.ofSeconds(3));
        assertThat(targetsAt(first)).isEqualTo(1);
    }

    /** Guards against a sound node that is pushed out by an earlier one at its address, whose record came back. */
    @Test
    void nodeAtAnAddressUsedAgainStaysWhenTheStoreLosesItsRecord() {
        run(Duration.ofSeconds(4));
        secondView.setDown(true);
        FakeRegistry.Copy copy = registry.copy();
        FakeRegistry.View thirdView = registry.view();
        membership("n3", 2, thirdView);
        run(Duration.ofSeconds(4));
        thirdView.setDown(true);
        registry.comeBackFrom(copy);
        run(Duration.ofSeconds(3));
        assertThat(first.directory().node(NodeId.of("n3"))).isPresent();
    }
}
