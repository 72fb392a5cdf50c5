package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.admission.GateFixture.RecordingListener;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.ServiceLevel;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class TargetGateTest {

    @Test
    void queuedRequestsRunByRankThenSunkWorkThenSlack() {
        GateFixture fixture = new GateFixture(GateFixture.warm(1));
        RecordingListener running = fixture.submit(0);
        RecordingListener browsing = fixture.submit(6);
        RecordingListener fresh = fixture.submit(3, 0, 400);
        RecordingListener patient = fixture.submit(3, 20, 800);
        RecordingListener urgent = fixture.submit(3, 20, 500);
        RecordingListener order = fixture.submit(0);

        for (RecordingListener next : List.of(running, order, urgent, patient, fresh, browsing)) {
            assertThat(next.admitted()).isTrue();
            next.succeed();
        }
    }

    // A request needs 20 ms of work at the target but its deadline is in 10 ms. If admitted, it would occupy a slot
    // that a request that can still be answered needs, and its own answer would come too late.
    @Test
    void requestThatCannotFinishInTimeIsRefusedBeforeItRuns() {
        GateFixture fixture = new GateFixture(GateFixture.warm(1));
        learnServiceTime(fixture, 20);
        RecordingListener running = fixture.submit(3);
        RecordingListener late = fixture.submit(3, 0, 10);
        assertThat(late.reason).isEqualTo(Reason.DEADLINE_PASSED);

        RecordingListener expiring = fixture.submit(3, 0, 40);
        fixture.advance(30);
        assertThat(expiring.reason).isEqualTo(Reason.DEADLINE_PASSED);
        running.succeed();
    }

    // The target was ten times slower for a while, so each request appears unable to finish within its 100 ms. If all
    // were refused, no request could show that the target has recovered, and all requests would be refused permanently.
    @Test
    void targetThatWasSlowIsProbedAgain() {
        GateFixture fixture = new GateFixture(GateFixture.warm(4));
        learnServiceTime(fixture, 500);
        RecordingListener probe = fixture.submit(3, 0, 100);
        assertThat(probe.admitted()).isTrue();
        fixture.advance(10);
        for (int i = 0; i < 20; i++) {
            probe.succeed();
            probe = fixture.submit(3, 0, 100);
            fixture.advance(10);
        }
        assertThat(fixture.submit(3, 0, 100).admitted()).isTrue();
        assertThat(fixture.submit(3, 0, 100).admitted()).isTrue();
    }

    // Many callers send requests within the same second. The burst is short, so none of its requests may be refused.
    @Test
    void burstIsAdmittedCompletely() {
        GateFixture fixture = new GateFixture(GateFixture.warm(5));
        List<RecordingListener> burst = fixture.submit(6, 40);
        for (int i = 0; i < 8; i++) {
            fixture.advance(10);
            succeedRunning(burst);
        }
        assertThat(burst).allMatch(RecordingListener::admitted);
    }

    // Demand exceeds the capacity of the target for seconds. If the queue merely grew, each request would wait for the
    // larger part of its time and then fail. The least important requests must be refused early so that important ones
    // do not wait.
    @Test
    void standingQueueIsCutFromItsLeastImportantEnd() {
        GateFixture fixture = new GateFixture(GateFixture.warm(2));
        List<RecordingListener> browsing = new ArrayList<>();
        List<RecordingListener> orders = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            browsing.addAll(fixture.submit(6, 3));
            orders.addAll(i % 2 == 0 ? fixture.submit(0, 1) : List.of());
            fixture.advance(10);
            succeedRunning(browsing, orders);
        }
        assertThat(orders).allMatch(RecordingListener::admitted);
        assertThat(browsing.stream().filter(listener -> listener.reason != null).count())
                .isGreaterThan(100);
        assertThat(fixture.gate.snapshot().queued()).isLessThan(20);
        assertThat(fixture.gate.level()).isLessThan(7 * ServiceLevel.STEPS).isGreaterThan(ServiceLevel.STEPS);
    }

    // A node is restarted next to a busy target with 55 slots. If its gate started at a limit of 4 and raised it by one
    // per two answers, requests would be refused for seconds while the target is idle.
    @Test
    void announcedSlotsAreUsedAtOnceWhereTheyAreReliable() {
        GateFixture fixture = new GateFixture(GateSettings.ofAnnouncedSlots().withAnnouncedSlots(55));
        List<RecordingListener> asked = fixture.submit(3, 56);
        assertThat(asked.stream().filter(listener -> listener.permit != null)).hasSize(55);
        fixture.gate.targetRestarted();
        assertThat(fixture.gate.snapshot().limit()).isEqualTo(55);
    }

    /** Guards against full targets that process less: some take a third longer per request when nearly full. */
    @Test
    void slotsStayFreeWhereTargetsSlowDownWhenNearlyFull() {
        GateSettings sparing = GateSettings.ofAnnouncedSlots().withUsableShare(0.94);
        GateFixture fixture = new GateFixture(sparing.withAnnouncedSlots(16));
        List<RecordingListener> asked = fixture.submit(3, 16);
        assertThat(asked.stream().filter(listener -> listener.permit != null)).hasSize(15);
        assertThat(new GateFixture(sparing.withAnnouncedSlots(148))
                        .gate
                        .snapshot()
                        .limit())
                .isEqualTo(139);
        assertThat(new GateFixture(sparing.withAnnouncedSlots(4))
                        .gate
                        .snapshot()
                        .limit())
                .isEqualTo(4);
    }

    // A target has just started and is slow at first. If all its slots were used at once, all requests would time out.
    @Test
    void coldTargetIsGivenItsSlotsGradually() {
        GateFixture fixture = new GateFixture(GateSettings.defaults().withAnnouncedSlots(50));
        assertThat(fixture.gate.snapshot().limit()).isEqualTo(4);
        List<RecordingListener> asked = new ArrayList<>();
        int before = 4;
        for (int i = 0; i < 100; i++) {
            asked.addAll(fixture.submit(3, 60));
            fixture.advance(25);
            succeedRunning(asked);
            int limit = fixture.gate.snapshot().limit();
            assertThat(limit).isBetween(before, 2 * before);
            before = limit;
        }
        assertThat(before).isEqualTo(50);
        fixture.gate.targetRestarted();
        assertThat(fixture.gate.snapshot().limit()).isEqualTo(4);
    }

    // Callers cancel slow requests and send them again. The target still executes the first ones; if their slots were
    // reused, the target would run more requests than it has slots and slow down further.
    @Test
    void abandonedWorkHoldsItsSlotUntilTheTargetAnswers() {
        GateFixture fixture = new GateFixture(GateFixture.warm(1));
        RecordingListener first = fixture.submit(3);
        first.handle.cancel();
        RecordingListener second = fixture.submit(3);
        assertThat(second.isWaiting()).isTrue();
        assertThat(fixture.gate.snapshot().abandoned()).isEqualTo(1);
        first.succeed();
        assertThat(second.admitted()).isTrue();
    }

    // A connection to the target stops responding with a request on it, so its answer never arrives. The slot of the
    // request must be reclaimed.
    @Test
    void slotOfALostAnswerIsReclaimedAfterTheHoldTime() {
        GateFixture fixture = new GateFixture(GateFixture.warm(1));
        RecordingListener lost = fixture.submit(3);
        fixture.advance(30_000);
        assertThat(fixture.gate.snapshot().inFlight()).isEqualTo(1);
        fixture.advance(3_000);
        assertThat(fixture.gate.snapshot().inFlight()).isZero();
        RecordingListener next = fixture.submit(3);
        lost.succeed();
        assertThat(next.admitted()).isTrue();
        assertThat(fixture.gate.snapshot().inFlight()).isEqualTo(1);
    }

    // The target hangs: it accepts requests and answers none. No service time reveals this, so the level has to fall
    // without any completion.
    @Test
    void levelFallsWhenTheTargetHangs() {
        GateFixture fixture = new GateFixture(GateFixture.warm(4));
        learnServiceTime(fixture, 10);
        for (int i = 0; i < 100; i++) {
            fixture.submit(3, 4);
            fixture.advance(20);
        }
        assertThat(fixture.gate.level()).isLessThan(3 * ServiceLevel.STEPS + ServiceLevel.STEPS / 4);
    }

    @Test
    void drainRefusesQueuedRequestsAndLetsRunningOnesFinish() {
        GateFixture fixture = new GateFixture(GateFixture.warm(1));
        RecordingListener running = fixture.submit(0);
        RecordingListener waiting = fixture.submit(0);
        fixture.gate.drain();
        var idle = fixture.gate.idle();
        assertThat(waiting.reason).isEqualTo(Reason.DRAINING);
        assertThat(fixture.submit(0).reason).isEqualTo(Reason.DRAINING);
        assertThat(idle).isNotDone();
        running.succeed();
        assertThat(idle).isDone();
        fixture.gate.undrain();
        assertThat(fixture.submit(0).admitted()).isTrue();
    }

    @Test
    void refusalsAreCountedByRankAndReason() {
        GateFixture fixture = new GateFixture(GateFixture.warm(1));
        fixture.submit(0);
        RecordingListener cancelled = fixture.submit(5);
        cancelled.handle.cancel();
        assertThat(cancelled.reason).isEqualTo(Reason.CANCELLED);
        assertThat(fixture.gate.snapshot().shedByRank()).hasSize(PriorityClass.RANKS);
        assertThat(fixture.gate.snapshot().shedByRank().get(5)).containsEntry(Reason.CANCELLED, 1L);
    }

    /** Completes all running requests; requests that the freed slots admit keep running. */
    @SafeVarargs
    private static void succeedRunning(List<RecordingListener>... lists) {
        List<RecordingListener> running = Stream.of(lists)
                .flatMap(List::stream)
                .filter(RecordingListener::admitted)
                .toList();
        running.forEach(RecordingListener::succeed);
    }

    private static void learnServiceTime(GateFixture fixture, long millis) {
        for (int i = 0; i < 10; i++) {
            RecordingListener listener = fixture.submit(3, 0, 60_000);
            fixture.advance(millis);
            listener.succeed();
        }
    }
}
