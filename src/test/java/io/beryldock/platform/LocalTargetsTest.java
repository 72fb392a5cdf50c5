package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.beryldock.forwarding.Announcement;
import io.beryldock.membership.DepartedStart;
import io.beryldock.membership.TargetState;
import io.beryldock.time.Moment;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class LocalTargetsTest {

    private static final long NOW_MILLIS = 100_000;

    private final List<Announcement> announced = new ArrayList<>();
    private final AtomicInteger newStarts = new AtomicInteger();
    private final FakeDepartures departures = new FakeDepartures();
    private CompletableFuture<Boolean> serving = CompletableFuture.completedFuture(true);
    private final LocalTargets targets = create();

    @BeforeEach
    void start() {
        targets.start();
        departures.recall();
    }

    private LocalTargets create() {
        return new LocalTargets(
                Runnable::run,
                announced::add,
                newStarts::incrementAndGet,
                departures,
                (id, announcement) -> serving,
                () -> new Moment(0, NOW_MILLIS));
    }

    /** Returns the targets of a process that has not read what earlier ones recorded. */
    private LocalTargets restarted() {
        departures.forgetReaders();
        announced.clear();
        LocalTargets restarted = create();
        restarted.start();
        return restarted;
    }

    private static Heartbeat heartbeat(long sequence, TargetState state, long startedAt) {
        return new Heartbeat(new Announcement("lists", "127.0.0.1:1", 8, state), sequence, startedAt);
    }

    private static CompletableFuture<Void> ready(LocalTargets targets, String id, long sequence) {
        return targets.onHeartbeat(id, heartbeat(sequence, TargetState.READY, Heartbeat.UNKNOWN_START));
    }

    private void heartbeat(String id, int port, long sequence, TargetState state) {
        heartbeatOfStart(id, port, sequence, state, Heartbeat.UNKNOWN_START);
    }

    private void heartbeatOfStart(String id, int port, long sequence, TargetState state, long startedAt) {
        Announcement announcement = new Announcement("lists", "127.0.0.1:" + port, 8, state);
        targets.onHeartbeat(id, new Heartbeat(announcement, sequence, startedAt))
                .join();
    }

    private TargetState lastState() {
        return announced.get(announced.size() - 1).state();
    }

    private void ready(String id, long sequence) {
        heartbeat(id, 1, sequence, TargetState.READY);
    }

    /**
     * Guards against a service that fails for seconds after its target has crashed and restarted: a heartbeat of the
     * ended start is delayed in the network, arrives after those of the new start, and the node then sends calls with
     * the id of the ended start.
     */
    @Test
    void lateHeartbeatOfEndedStartDoesNotReplaceTheNewStart() {
        ready("old", 7);
        ready("new", 1);
        ready("old", 8);
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
    }

    /** Guards against two starts under one id that share what the earlier one said of itself. */
    @Test
    void announcementIdentifiesTheStart() {
        ready("a", 1);
        heartbeatOfStart("b", 1, 1, TargetState.READY, 5_000);
        heartbeatOfStart("b", 1, 1, TargetState.READY, 6_000);
        assertThat(announced.stream().map(Announcement::start)).containsExactly("a", "b@5000", "b@6000");
    }

    /**
     * Guards against the same fault at a node that was restarted in between and receives the late heartbeat first: the
     * running start becomes current again with its second heartbeat.
     */
    @Test
    void replacedStartBecomesCurrentAgainAfterTwoHeartbeats() {
        ready("new", 5);
        ready("old", 8);
        ready("new", 6);
        ready("new", 7);
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
    }

    @Test
    void endedStartStaysLeavingDespiteFurtherHeartbeats() {
        ready("a", 1);
        targets.onEnded("a", Heartbeat.UNKNOWN_START).join();
        ready("a", 2);
        ready("a", 3);
        ready("a", 4);
        assertThat(announced.get(announced.size() - 1).state()).isEqualTo(TargetState.LEAVING);
    }

    @Test
    void heartbeatWithLowerSequenceIsIgnored() {
        heartbeat("a", 1, 5, TargetState.LEAVING);
        heartbeat("a", 1, 4, TargetState.READY);
        assertThat(announced).extracting(Announcement::state).containsExactly(TargetState.LEAVING);
    }

    /**
     * Guards against a service that fails after a restart for as long as its target had run before: the target crashes,
     * restarts under the same id and numbers its heartbeats from the beginning. The node ignores them as overtaken and
     * keeps the last state of the ended start.
     */
    @Test
    void restartUnderTheSameIdIsAccepted() {
        heartbeatOfStart("a", 1, 40, TargetState.LEAVING, 1_000);
        heartbeatOfStart("a", 1, 1, TargetState.READY, 2_000);
        assertThat(lastState()).isEqualTo(TargetState.READY);
        assertThat(newStarts).hasValue(1);
    }

    /** Guards against a late heartbeat of the earlier start that is accepted because its sequence is higher. */
    @Test
    void lateHeartbeatOfEarlierStartUnderTheSameIdIsIgnored() {
        heartbeatOfStart("a", 1, 40, TargetState.READY, 1_000);
        heartbeatOfStart("a", 1, 1, TargetState.READY, 2_000);
        heartbeatOfStart("a", 1, 41, TargetState.LEAVING, 1_000);
        assertThat(lastState()).isEqualTo(TargetState.READY);
        assertThat(newStarts).hasValue(1);
    }

    /** Guards against a restarted target without work, because the end of its earlier start was reported late. */
    @Test
    void lateEndOfEarlierStartDoesNotEndTheCurrentStart() {
        heartbeatOfStart("a", 1, 40, TargetState.READY, 1_000);
        heartbeatOfStart("a", 1, 1, TargetState.READY, 2_000);
        targets.onEnded("a", 1_000).join();
        heartbeatOfStart("a", 1, 2, TargetState.READY, 2_000);
        assertThat(lastState()).isEqualTo(TargetState.READY);
    }

    @Test
    void restartUnderTheSameIdAfterAnEndIsAccepted() {
        heartbeatOfStart("a", 1, 40, TargetState.READY, 1_000);
        targets.onEnded("a", 1_000).join();
        assertThat(lastState()).isEqualTo(TargetState.LEAVING);
        heartbeatOfStart("a", 1, 1, TargetState.READY, 2_000);
        assertThat(lastState()).isEqualTo(TargetState.READY);
    }

    /** A start with an earlier start time never becomes current, however many heartbeats it sends. */
    @Test
    void earlierStartUnderAnotherIdNeverBecomesCurrent() {
        heartbeatOfStart("new", 1, 1, TargetState.READY, 2_000);
        for (int sequence = 8; sequence < 12; sequence++) {
            heartbeatOfStart("old", 1, sequence, TargetState.READY, 1_000);
        }
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
    }

    /** Guards against requests to a target that has left: its node is killed, and an earlier heartbeat comes late. */
    @Test
    void lateHeartbeatOfEndedStartIsIgnoredAfterRestartOfTheNode() {
        ready("a", 7);
        targets.onEnded("a", Heartbeat.UNKNOWN_START).join();
        LocalTargets restarted = restarted();
        departures.recall();
        ready(restarted, "a", 8).join();
        ready(restarted, "a", 9).join();
        ready(restarted, "a", 10).join();
        assertThat(restarted.current()).isEmpty();
        assertThat(announced).isEmpty();
    }

    /** Guards against the same for a target that has announced itself as draining. */
    @Test
    void lateHeartbeatOfDrainingStartIsIgnoredAfterRestartOfTheNode() {
        ready("a", 7);
        heartbeat("a", 1, 9, TargetState.LEAVING);
        LocalTargets restarted = restarted();
        departures.recall();
        ready(restarted, "a", 8).join();
        assertThat(restarted.current()).isEmpty();
    }

    /** Guards against a late heartbeat that the restarted node receives before the store has answered. */
    @Test
    void lateHeartbeatBeforeTheRecallIsIgnored() {
        ready("a", 7);
        targets.onEnded("a", Heartbeat.UNKNOWN_START).join();
        LocalTargets restarted = restarted();
        ready(restarted, "a", 8).join();
        assertThat(restarted.current()).isEmpty();
        departures.recall();
        assertThat(restarted.current()).isEmpty();
    }

    /** Guards against a target without work because its node was restarted. */
    @Test
    void runningStartBecomesCurrentWithTheRecall() {
        LocalTargets restarted = restarted();
        ready(restarted, "a", 8).join();
        assertThat(restarted.current()).isEmpty();
        departures.recall();
        assertThat(restarted.current().orElseThrow().id()).isEqualTo("a");
    }

    /** Guards against a target without work for as long as its restarted node can't read the store. */
    @Test
    void runningStartBecomesCurrentWithoutRecallAfterFurtherHeartbeats() {
        LocalTargets restarted = restarted();
        ready(restarted, "a", 8).join();
        ready(restarted, "a", 9).join();
        assertThat(restarted.current()).isEmpty();
        ready(restarted, "a", 10).join();
        assertThat(restarted.current().orElseThrow().id()).isEqualTo("a");
    }

    /** Guards against several heartbeats that were delayed together, after a departure that can't be read yet. */
    @Test
    void lateHeartbeatsBeforeTheRecallAreIgnored() {
        ready("a", 7);
        targets.onEnded("a", Heartbeat.UNKNOWN_START).join();
        serving = CompletableFuture.completedFuture(false);
        LocalTargets restarted = restarted();
        for (int sequence = 4; sequence < 8; sequence++) {
            ready(restarted, "a", sequence).join();
        }
        assertThat(restarted.current()).isEmpty();
        assertThat(announced).isEmpty();
    }

    /** Guards against a target that is ready again because it was asked whether it serves before it left. */
    @Test
    void departureWhileTheTargetIsAskedIsFinal() {
        serving = new CompletableFuture<>();
        LocalTargets restarted = restarted();
        for (int sequence = 8; sequence < 11; sequence++) {
            ready(restarted, "a", sequence).join();
        }
        restarted.onEnded("a", Heartbeat.UNKNOWN_START).join();
        serving.complete(true);
        assertThat(restarted.current()).isEmpty();
    }

    /** Guards against a confirmed departure that an earlier heartbeat undoes once the store has answered. */
    @Test
    void drainingBeforeTheRecallIsFinal() {
        LocalTargets restarted = restarted();
        ready(restarted, "a", 8).join();
        restarted
                .onHeartbeat("a", heartbeat(9, TargetState.LEAVING, Heartbeat.UNKNOWN_START))
                .join();
        departures.recall(ImmutableList.of());
        ready(restarted, "a", 8).join();
        assertThat(announced).extracting(Announcement::state).doesNotContain(TargetState.READY);
    }

    /** Guards against a confirmed departure that is not applied because the start had been replaced. */
    @Test
    void replacedStartThatDrainsDoesNotBecomeCurrentAgain() {
        ready("old", 8);
        ready("new", 1);
        heartbeat("old", 1, 9, TargetState.LEAVING);
        for (int sequence = 10; sequence < 14; sequence++) {
            ready("old", sequence);
        }
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
    }

    /** Guards against a new start without work, because a notice of the earlier start's departure arrived late. */
    @Test
    void lateDrainingOfEndedStartDoesNotReplaceTheNewStart() {
        ready("old", 8);
        targets.onEnded("old", Heartbeat.UNKNOWN_START).join();
        ready("new", 1);
        heartbeat("old", 1, 9, TargetState.LEAVING);
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
        assertThat(lastState()).isEqualTo(TargetState.READY);
    }

    /** Guards against a confirmed departure that is not applied because a later heartbeat had arrived before it. */
    @Test
    void drainingWithLowerSequenceIsApplied() {
        ready("a", 9);
        heartbeat("a", 1, 8, TargetState.LEAVING);
        ready("a", 10);
        assertThat(lastState()).isEqualTo(TargetState.LEAVING);
    }

    @Test
    void startThatWasAcceptedWithoutRecallEndsIfItHadLeft() {
        ready("a", 7);
        targets.onEnded("a", Heartbeat.UNKNOWN_START).join();
        LocalTargets restarted = restarted();
        for (int sequence = 8; sequence < 11; sequence++) {
            ready(restarted, "a", sequence).join();
        }
        departures.recall();
        assertThat(lastState()).isEqualTo(TargetState.LEAVING);
    }

    /** Guards against the same where heartbeats tell the start time and the notice of the end does not. */
    @Test
    void endWithoutStartTimeCoversTheCurrentStartAfterRestartOfTheNode() {
        heartbeatOfStart("a", 1, 40, TargetState.READY, 1_000);
        targets.onEnded("a", Heartbeat.UNKNOWN_START).join();
        targets.onEnded("a", Heartbeat.UNKNOWN_START).join();
        LocalTargets restarted = restarted();
        departures.recall();
        restarted.onHeartbeat("a", heartbeat(41, TargetState.READY, 1_000)).join();
        assertThat(restarted.current()).isEmpty();
    }

    /** Guards against a target that is refused for ever because an earlier start under its id has left. */
    @Test
    void laterStartUnderTheSameIdIsAcceptedAfterRestartOfTheNode() {
        heartbeatOfStart("a", 1, 40, TargetState.READY, 1_000);
        targets.onEnded("a", 1_000).join();
        LocalTargets restarted = restarted();
        departures.recall();
        restarted.onHeartbeat("a", heartbeat(1, TargetState.READY, 2_000)).join();
        assertThat(lastState()).isEqualTo(TargetState.READY);
    }

    /** Guards against a confirmed departure that is lost with the process because the store did not hold it yet. */
    @Test
    void departureIsConfirmedOnceItIsRecorded() {
        ready("a", 1);
        departures.delayStorage();
        CompletableFuture<Void> draining =
                targets.onHeartbeat("a", heartbeat(2, TargetState.LEAVING, Heartbeat.UNKNOWN_START));
        CompletableFuture<Void> ended = targets.onEnded("a", Heartbeat.UNKNOWN_START);
        assertThat(lastState()).isEqualTo(TargetState.LEAVING);
        assertThat(draining).isNotDone();
        assertThat(ended).isNotDone();
        departures.store();
        assertThat(draining).isCompleted();
        assertThat(ended).isCompleted();
    }

    /** Guards against a departed target that is ready again, as its departure was recorded for an earlier start. */
    @Test
    void endOfALaterStartUnderTheSameIdCoversItsLateHeartbeats() {
        heartbeatOfStart("a", 1, 40, TargetState.READY, 1_000);
        targets.onEnded("a", 2_000).join();
        heartbeatOfStart("a", 1, 1, TargetState.READY, 2_000);
        assertThat(lastState()).isEqualTo(TargetState.LEAVING);
        LocalTargets restarted = restarted();
        departures.recall();
        restarted.onHeartbeat("a", heartbeat(2, TargetState.READY, 2_000)).join();
        assertThat(restarted.current()).isEmpty();
    }

    /** Guards against a departed target that is ready again, as only its late heartbeats tell its start time. */
    @Test
    void endWithoutStartTimeCoversHeartbeatsThatTellIt() {
        LocalTargets restarted = restarted();
        departures.recall();
        restarted.onEnded("a", Heartbeat.UNKNOWN_START).join();
        restarted.onHeartbeat("a", heartbeat(41, TargetState.READY, 1_000)).join();
        assertThat(restarted.current()).isEmpty();
        LocalTargets next = restarted();
        departures.recall();
        next.onHeartbeat("a", heartbeat(42, TargetState.READY, 1_000)).join();
        assertThat(next.current()).isEmpty();
    }

    /** Guards against the same if the departure is confirmed before earlier ones have been read. */
    @Test
    void endWithoutStartTimeBeforeTheRecallCoversHeartbeatsThatTellIt() {
        LocalTargets restarted = restarted();
        restarted.onEnded("a", Heartbeat.UNKNOWN_START).join();
        departures.recall();
        for (int sequence = 38; sequence < 42; sequence++) {
            restarted
                    .onHeartbeat("a", heartbeat(sequence, TargetState.READY, 1_000))
                    .join();
        }
        assertThat(restarted.current()).isEmpty();
    }

    /** Guards against a target without work because an earlier start under its id left without a start time. */
    @Test
    void startAfterAnEndWithoutStartTimeIsAccepted() {
        targets.onEnded("a", Heartbeat.UNKNOWN_START).join();
        heartbeatOfStart("a", 1, 1, TargetState.READY, NOW_MILLIS + 1);
        assertThat(targets.current()).isPresent();
    }

    /** Guards against a departed target that is ready again, as its notice was taken for one of an earlier start. */
    @Test
    void endWithoutStartTimeCoversALaterStartUnderTheSameId() {
        heartbeatOfStart("a", 1, 40, TargetState.READY, 1_000);
        targets.onEnded("a", Heartbeat.UNKNOWN_START).join();
        heartbeatOfStart("a", 1, 1, TargetState.READY, 2_000);
        assertThat(lastState()).isEqualTo(TargetState.LEAVING);
    }

    /** Guards against a running target without work, as a restarted node takes a late heartbeat for a new start. */
    @Test
    void lateHeartbeatOfAnUnknownStartDoesNotReplaceARunningOne() {
        ready("new", 1);
        serving = CompletableFuture.completedFuture(false);
        ready("old", 8);
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
    }

    /** Guards against a new start without work because it is too busy to say that it serves. */
    @Test
    void newStartThatGivesNoAnswerReplacesTheEarlierOneAfterFurtherHeartbeats() {
        ready("old", 8);
        serving = CompletableFuture.completedFuture(false);
        ready("new", 1);
        ready("new", 2);
        assertThat(targets.current().orElseThrow().id()).isEqualTo("old");
        ready("new", 3);
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
    }

    /** Guards against a new start without work after a crash, where start times tell that it is the later one. */
    @Test
    void laterStartReplacesTheEarlierOneWithoutBeingAsked() {
        heartbeatOfStart("old", 1, 8, TargetState.READY, 1_000);
        serving = new CompletableFuture<>();
        heartbeatOfStart("new", 1, 1, TargetState.READY, 2_000);
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
    }

    /** Guards against a departed target that is ready again because it was asked whether it serves before it left. */
    @Test
    void departureOfANewStartWhileItIsAskedIsFinal() {
        ready("old", 8);
        serving = new CompletableFuture<>();
        ready("new", 1);
        targets.onEnded("new", Heartbeat.UNKNOWN_START).join();
        serving.complete(true);
        assertThat(targets.current().orElseThrow().id()).isEqualTo("old");
    }

    /** Guards against an answer that arrives after another start has become current. */
    @Test
    void startThatIsReplacedWhileItIsAskedDoesNotBecomeCurrent() {
        heartbeatOfStart("old", 1, 8, TargetState.READY, Heartbeat.UNKNOWN_START);
        CompletableFuture<Boolean> late = new CompletableFuture<>();
        serving = late;
        ready("between", 1);
        serving = CompletableFuture.completedFuture(true);
        ready("new", 1);
        late.complete(true);
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
    }

    /** Guards against a running target without work, as a restarted node takes a late departure for a new start's. */
    @Test
    void lateDrainingOfAnUnknownStartDoesNotReplaceARunningOne() {
        ready("new", 1);
        heartbeat("old", 1, 9, TargetState.LEAVING);
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
        assertThat(lastState()).isEqualTo(TargetState.READY);
        assertThat(departures.starts()).containsExactly(new DepartedStart("old", Heartbeat.UNKNOWN_START));
    }

    /** Guards against work for a target whose first heartbeat at this node says that it leaves. */
    @Test
    void drainingOfALaterStartReplacesTheEarlierOne() {
        heartbeatOfStart("old", 1, 8, TargetState.READY, 1_000);
        heartbeatOfStart("new", 1, 1, TargetState.LEAVING, 2_000);
        assertThat(lastState()).isEqualTo(TargetState.LEAVING);
    }
}
