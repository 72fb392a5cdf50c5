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

    private void beat(String id, int port, long sequence, TargetState state) {
        bornBeat(id, port, sequence, state, Heartbeat.UNKNOWN_START);
    }

    private void bornBeat(String id, int port, long sequence, TargetState state, long startedAt) {
        Announcement announcement = new Announcement("lists", "127.0.0.1:" + port, 8, state);
        targets.heard(id, new Heartbeat(announcement, sequence, startedAt)).join();
    }

    private TargetState lastState() {
        return announced.get(announced.size() - 1).state();
    }

    private void ready(String id, long sequence) {
        beat(id, 1, sequence, TargetState.READY);
    }

    /**
     * Story: every page of a service fails for seconds after its target crashed and came back. A heartbeat of the ended
     * start was held up in the network, came after those of the new one, and calls were then sent in the old name.
     */
    @Test
    void lateHeartbeatOfAnEndedStartDoesNotReplaceTheNewOne() {
        ready("old", 7);
        ready("new", 1);
        ready("old", 8);
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
    }

    /** Story: as before, but this node was restarted in between and heard the late heartbeat as news. */
    @Test
    void startThatGoesOnBeatingComesBack() {
        ready("new", 5);
        ready("old", 8);
        ready("new", 6);
        ready("new", 7);
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
    }

    @Test
    void targetThatSaidThatItEndsGetsNoWorkAgain() {
        ready("a", 1);
        targets.ended("a", Heartbeat.UNKNOWN_START).join();
        ready("a", 2);
        ready("a", 3);
        ready("a", 4);
        assertThat(announced.get(announced.size() - 1).state()).isEqualTo(TargetState.LEAVING);
    }

    @Test
    void heartbeatThatWasOvertakenChangesNothing() {
        beat("a", 1, 5, TargetState.LEAVING);
        beat("a", 1, 4, TargetState.READY);
        assertThat(announced).extracting(Announcement::state).containsExactly(TargetState.LEAVING);
    }

    /**
     * Story: pages of a service fail for as long as its target had run before. It crashed and started again under the
     * id that it had, counting its heartbeats from the start; each was taken for one that had been overtaken, so that
     * the node believed what the ended start had said last.
     */
    @Test
    void targetThatStartsAgainUnderItsIdIsBelieved() {
        bornBeat("a", 1, 40, TargetState.LEAVING, 1_000);
        bornBeat("a", 1, 1, TargetState.READY, 2_000);
        assertThat(lastState()).isEqualTo(TargetState.READY);
        assertThat(newStarts).hasValue(1);
    }

    /** Story: as before; then a heartbeat of the ended start comes late, with a higher sequence, and is believed. */
    @Test
    void lateHeartbeatOfAnEarlierStartUnderTheSameIdChangesNothing() {
        bornBeat("a", 1, 40, TargetState.READY, 1_000);
        bornBeat("a", 1, 1, TargetState.READY, 2_000);
        bornBeat("a", 1, 41, TargetState.LEAVING, 1_000);
        assertThat(lastState()).isEqualTo(TargetState.READY);
        assertThat(newStarts).hasValue(1);
    }

    /** Story: a target gets no work after its restart: the end of its earlier start was told late. */
    @Test
    void lateEndOfAnEarlierStartDoesNotEndThePresentOne() {
        bornBeat("a", 1, 40, TargetState.READY, 1_000);
        bornBeat("a", 1, 1, TargetState.READY, 2_000);
        targets.ended("a", 1_000).join();
        bornBeat("a", 1, 2, TargetState.READY, 2_000);
        assertThat(lastState()).isEqualTo(TargetState.READY);
    }

    @Test
    void targetThatEndedAndStartsAgainUnderItsIdIsBelieved() {
        bornBeat("a", 1, 40, TargetState.READY, 1_000);
        targets.ended("a", 1_000).join();
        assertThat(lastState()).isEqualTo(TargetState.LEAVING);
        bornBeat("a", 1, 1, TargetState.READY, 2_000);
        assertThat(lastState()).isEqualTo(TargetState.READY);
    }

    /** A start that says that it is the earlier one needs no proofs against it, however often it says so. */
    @Test
    void earlierStartUnderAnotherIdNeverComesBack() {
        bornBeat("new", 1, 1, TargetState.READY, 2_000);
        for (int sequence = 8; sequence < 12; sequence++) {
            bornBeat("old", 1, sequence, TargetState.READY, 1_000);
        }
        assertThat(targets.current().orElseThrow().id()).isEqualTo("new");
    }
}
