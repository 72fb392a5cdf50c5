package io.beryldock.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.forwarding.Announcement;
import io.beryldock.membership.TargetState;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class LocalTargetsTest {

    private final List<Announcement> announced = new ArrayList<>();
    private final LocalTargets targets = new LocalTargets(Runnable::run, announced::add);

    private void beat(String id, int port, long sequence, TargetState state) {
        Announcement announcement = new Announcement("lists", "127.0.0.1:" + port, 8, state);
        targets.heard(id, new Heartbeat(announcement, sequence)).join();
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
        targets.ended("a").join();
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
}
