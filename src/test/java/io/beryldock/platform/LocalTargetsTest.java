package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.forwarding.Announcement;
import io.beryldock.membership.TargetState;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class LocalTargetsTest {

    private final List<Announcement> announced = new ArrayList<>();
    private final AtomicInteger newStarts = new AtomicInteger();
    private final LocalTargets targets = new LocalTargets(Runnable::run, announced::add, newStarts::incrementAndGet);

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
}
