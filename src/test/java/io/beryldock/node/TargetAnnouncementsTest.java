package io.beryldock.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.admission.Completion;
import io.beryldock.admission.GateListener;
import io.beryldock.admission.GateRequest;
import io.beryldock.admission.GateSettings;
import io.beryldock.admission.Permit;
import io.beryldock.admission.TargetGate;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.Reason;
import io.beryldock.call.RequestIds;
import io.beryldock.call.ServiceName;
import io.beryldock.call.TargetNotice;
import io.beryldock.forwarding.Announcement;
import io.beryldock.membership.MembershipService;
import io.beryldock.membership.MembershipSettings;
import io.beryldock.membership.NodeDescriptor;
import io.beryldock.membership.TargetRecord;
import io.beryldock.membership.TargetState;
import io.beryldock.store.InMemoryPlatformStore;
import io.beryldock.time.ManualTimerService;
import io.beryldock.timeline.EventSink;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;

class TargetAnnouncementsTest {

    private static final Duration EXPIRY = Duration.ofSeconds(5);
    private static final ServiceName LISTS = ServiceName.of("lists");

    private final ManualTimerService timers = ManualTimerService.create();
    private final RequestIds ids = RequestIds.of(Incarnation.random(new Random(4)));
    private final MembershipService membership = membership();
    private final TargetAnnouncements announcements = new TargetAnnouncements(
            membership,
            (service, gate, start) -> TargetGate.create(gate, timers, new Random(1), EventSink.none(), service, start),
            GateSettings.defaults(),
            true,
            EXPIRY,
            timers,
            EventSink.none());

    private MembershipService membership() {
        NodeDescriptor self = new NodeDescriptor(
                NodeId.of("n1"), new Incarnation(1, 1), DataCentre.of("gent-a"), new InetSocketAddress(1));
        MembershipService service = MembershipService.create(
                MembershipSettings.of(ImmutableList.of()).withTargetExpiry(EXPIRY),
                self,
                (to, body) -> {},
                timers,
                new Random(2),
                EventSink.none(),
                InMemoryPlatformStore.create(timers, new Random(3)));
        service.start();
        return service;
    }

    private List<TargetRecord> targets() {
        return membership.directory().targetsOf(LISTS);
    }

    private void announceEverySecond(TargetState state, int seconds) {
        announceEverySecond(state, seconds, "");
    }

    private void announceEverySecond(TargetState state, int seconds, String start) {
        for (int i = 0; i < seconds; i++) {
            announcements.announce(new Announcement("lists", "127.0.0.1:9101", 50, state, start));
            timers.advance(Duration.ofSeconds(1));
        }
    }

    private TargetGate gate() {
        return announcements.current().orElseThrow().gate();
    }

    private void answer(TargetNotice notice) {
        gate().onNotice(notice, timers.ticker().nanos());
    }

    private static TargetNotice leaving() {
        return new TargetNotice(OptionalDouble.of(TargetNotice.UNLIMITED), true);
    }

    private static TargetNotice limited(double rate) {
        return new TargetNotice(OptionalDouble.of(rate), false);
    }

    /**
     * Guards against requests that are refused with "no live target" from five seconds after a start. The target
     * repeats the same announcement every second. If the node ignores unchanged announcements and does not renew them
     * in the membership, the membership withdraws the target when the first announcement expires.
     */
    @Test
    void unchangedAnnouncementsKeepTheTargetInTheMembership() {
        announceEverySecond(TargetState.READY, 20);
        assertThat(targets()).hasSize(1);
    }

    @Test
    void targetWithoutAnnouncementsIsWithdrawn() {
        announceEverySecond(TargetState.READY, 2);
        timers.advance(EXPIRY.plusSeconds(1));
        assertThat(targets()).isEmpty();
        assertThat(announcements.current()).isEmpty();
    }

    /**
     * Guards against new requests to a drained target: the target is not aware of the drain and announces READY again a
     * second later.
     */
    @Test
    void drainedTargetStaysLeavingDespiteReadyAnnouncements() {
        announceEverySecond(TargetState.READY, 2);
        announcements.drain();
        announceEverySecond(TargetState.READY, 3);
        assertThat(targets().get(0).state()).isEqualTo(TargetState.LEAVING);
        assertThat(announcements.current().orElseThrow().gate().snapshot().draining())
                .isTrue();
        announcements.undrain();
        assertThat(targets().get(0).state()).isEqualTo(TargetState.READY);
    }

    /** Guards against new requests to a target whose answers say that it leaves while its heartbeats say READY. */
    @Test
    void targetThatSaysItLeavesStaysLeavingDespiteReadyAnnouncements() {
        announceEverySecond(TargetState.READY, 2, "lists-1");
        answer(leaving());
        announceEverySecond(TargetState.READY, 3, "lists-1");
        assertThat(targets().get(0).state()).isEqualTo(TargetState.LEAVING);
        assertThat(announcements.stateName()).isEqualTo("leaving");
        announcements.drain();
        announcements.undrain();
        assertThat(gate().snapshot().draining()).isTrue();
    }

    /** Guards against a new start at the same address that gets nothing because the earlier one was leaving. */
    @Test
    void newStartBeginsWithoutTheNoticesOfTheEarlierOne() {
        announceEverySecond(TargetState.READY, 2, "lists-1");
        answer(limited(5));
        answer(leaving());
        announceEverySecond(TargetState.READY, 2, "lists-2");
        assertThat(targets().get(0).state()).isEqualTo(TargetState.READY);
        assertThat(gate().snapshot().draining()).isFalse();
        assertThat(gate().snapshot().isRateLimited()).isFalse();
    }

    /** Guards against callers that ignore the load of a restarted target because its gate numbers reports from one. */
    @Test
    void loadReportsOfTheNextStartAreNewer() {
        announceEverySecond(TargetState.READY, 1, "lists-1");
        for (int i = 0; i < 100; i++) {
            gate().load();
        }
        long earlier = gate().load().version();
        announceEverySecond(TargetState.READY, 1, "lists-2");
        assertThat(gate().load().version()).isGreaterThan(earlier);
    }

    /** Guards against a node that forgets what a target named while its heartbeats were late. */
    @Test
    void startThatAnnouncesItselfAgainKeepsItsNotices() {
        announceEverySecond(TargetState.READY, 2, "lists-1");
        answer(limited(5));
        answer(leaving());
        timers.advance(EXPIRY.plusSeconds(1));
        assertThat(announcements.current()).isEmpty();
        announceEverySecond(TargetState.READY, 1, "lists-1");
        assertThat(gate().snapshot().ratePerSecond()).isEqualTo(5);
        assertThat(targets().get(0).state()).isEqualTo(TargetState.LEAVING);
    }

    /** Guards against a target that is never used again after its restart because it does not identify its starts. */
    @Test
    void unidentifiedTargetIsUsedAgainAMinuteAfterItSaidThatItLeaves() {
        announceEverySecond(TargetState.READY, 2);
        answer(leaving());
        announceEverySecond(TargetState.READY, 50);
        assertThat(targets().get(0).state()).isEqualTo(TargetState.LEAVING);
        announceEverySecond(TargetState.READY, 15);
        assertThat(targets().get(0).state()).isEqualTo(TargetState.READY);
    }

    /** Guards against requests that wait at the gate of an expired target and reach it after its departure. */
    @Test
    void requestsThatWaitWhenTheTargetExpiresAreNotAdmittedAfterItsDeparture() {
        Duration beforeExpiry = Duration.ofMillis(1);
        announcements.announce(new Announcement("lists", "127.0.0.1:9101", 50, TargetState.READY, "i-1"));
        timers.advance(EXPIRY.minus(beforeExpiry));
        RecordingListener listener = new RecordingListener();
        TargetGate gate = gate();
        while (gate.load().queued() == 0) {
            gate.submit(new GateRequest(ids.next(), 0, 0, 0, EXPIRY.toNanos()), listener);
        }
        timers.advance(beforeExpiry);
        assertThat(announcements.current()).isEmpty();
        announcements.announce(new Announcement("lists", "127.0.0.1:9101", 50, TargetState.LEAVING, "i-1"));
        List<Permit> running = List.copyOf(listener.permits);
        running.forEach(permit -> permit.release(Completion.SUCCEEDED));
        assertThat(listener.permits).isEqualTo(running);
        assertThat(listener.refusals).containsExactly(Reason.DRAINING);
    }

    /** Guards against more requests at a target than it has slots, when its heartbeats pause. */
    @Test
    void startThatAnnouncesItselfAgainKeepsItsGate() {
        announceEverySecond(TargetState.READY, 1, "i-1");
        TargetGate gate = gate();
        timers.advance(EXPIRY.plusSeconds(1));
        assertThat(announcements.current()).isEmpty();
        announceEverySecond(TargetState.READY, 1, "i-1");
        assertThat(gate()).isSameAs(gate);
        assertThat(gate.isDraining()).isFalse();
        timers.advance(EXPIRY.plusSeconds(1));
        announceEverySecond(TargetState.READY, 1, "i-2");
        assertThat(gate()).isNotSameAs(gate);
        assertThat(gate.isDraining()).isTrue();
    }

    /** Guards against requests that the gate of an earlier service still admits. */
    @Test
    void gateOfTheEarlierServiceIsDrained() {
        announceEverySecond(TargetState.READY, 1);
        TargetGate gate = gate();
        announcements.announce(new Announcement("holdings", "127.0.0.1:9101", 50, TargetState.READY, ""));
        assertThat(gate.isDraining()).isTrue();
        assertThat(gate()).isNotSameAs(gate);
        assertThat(gate().isDraining()).isFalse();
    }

    private static final class RecordingListener implements GateListener {

        private final List<Permit> permits = new ArrayList<>();
        private final List<Reason> refusals = new ArrayList<>();

        @Override
        public void admitted(Permit permit) {
            permits.add(permit);
        }

        @Override
        public void refused(Reason reason, long retryAfterMillis) {
            refusals.add(reason);
        }
    }
}
