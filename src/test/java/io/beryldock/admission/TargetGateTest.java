package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.admission.GateFixture.Heard;
import io.beryldock.call.PriorityClass;
import io.beryldock.call.Reason;
import io.beryldock.call.ServiceLevel;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class TargetGateTest {

    @Test
    void waitingRequestsRunByRankThenSunkWorkThenTimeLeft() {
        GateFixture fixture = new GateFixture(GateFixture.warm(1));
        Heard running = fixture.submit(0);
        Heard browsing = fixture.submit(6);
        Heard fresh = fixture.submit(3, 0, 400);
        Heard patient = fixture.submit(3, 20, 800);
        Heard urgent = fixture.submit(3, 20, 500);
        Heard order = fixture.submit(0);

        for (Heard next : List.of(running, order, urgent, patient, fresh, browsing)) {
            assertThat(next.admitted()).isTrue();
            next.succeed();
        }
    }

    // A librarian's page needs 20 ms of work at the target but the reader's time is over in 10 ms. Run, it would keep a
    // slot from a request that can still be answered, and its answer would come to nobody.
    @Test
    void requestThatCannotFinishInItsTimeIsDroppedBeforeItRuns() {
        GateFixture fixture = new GateFixture(GateFixture.warm(1));
        learnServiceTime(fixture, 20);
        Heard running = fixture.submit(3);
        Heard late = fixture.submit(3, 0, 10);
        assertThat(late.reason).isEqualTo(Reason.DEADLINE_PASSED);

        Heard expiring = fixture.submit(3, 0, 40);
        fixture.pass(30);
        assertThat(expiring.reason).isEqualTo(Reason.DEADLINE_PASSED);
        running.succeed();
    }

    // The target was ten times slower for a while, so each request seems unable to finish in its 100 ms. If all were
    // dropped no request would ever show that the target is fast again, and the pages would stay away for good.
    @Test
    void targetThatWasSlowIsTriedAgain() {
        GateFixture fixture = new GateFixture(GateFixture.warm(4));
        learnServiceTime(fixture, 500);
        Heard probe = fixture.submit(3, 0, 100);
        assertThat(probe.admitted()).isTrue();
        fixture.pass(10);
        for (int i = 0; i < 20; i++) {
            probe.succeed();
            probe = fixture.submit(3, 0, 100);
            fixture.pass(10);
        }
        assertThat(fixture.submit(3, 0, 100).admitted()).isTrue();
        assertThat(fixture.submit(3, 0, 100).admitted()).isTrue();
    }

    // Students open their lists at the same second. The burst is over in a moment, so nobody in it should be refused.
    @Test
    void burstIsLetPass() {
        GateFixture fixture = new GateFixture(GateFixture.warm(5));
        List<Heard> burst = fixture.submit(6, 40);
        for (int i = 0; i < 8; i++) {
            fixture.pass(10);
            succeedRunning(burst);
        }
        assertThat(burst).allMatch(Heard::admitted);
    }

    // More is asked than the target can do, for seconds. Were the queue only long, each request would wait most of its
    // time and then fail. The least important must be refused early, the important ones not wait.
    @Test
    void standingQueueIsCutFromItsLeastImportantEnd() {
        GateFixture fixture = new GateFixture(GateFixture.warm(2));
        List<Heard> browsing = new ArrayList<>();
        List<Heard> orders = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            browsing.addAll(fixture.submit(6, 3));
            orders.addAll(i % 2 == 0 ? fixture.submit(0, 1) : List.of());
            fixture.pass(10);
            succeedRunning(browsing, orders);
        }
        assertThat(orders).allMatch(Heard::admitted);
        assertThat(browsing.stream().filter(heard -> heard.reason != null).count())
                .isGreaterThan(100);
        assertThat(fixture.gate.snapshot().queued()).isLessThan(20);
        assertThat(fixture.gate.level()).isLessThan(7 * ServiceLevel.STEPS).isGreaterThan(ServiceLevel.STEPS);
    }

    // A node is started again beside a busy target of 55 slots. Its gate gave out 4 of them, and one more with two
    // answers, so that for seconds readers were refused while the target idled.
    @Test
    void announcedSlotsAreGivenOutAtOnceWhereTheyHold() {
        GateFixture fixture = new GateFixture(GateSettings.ofAnnouncedSlots().withAnnouncedSlots(55));
        List<Heard> asked = fixture.submit(3, 56);
        assertThat(asked.stream().filter(heard -> heard.permit != null)).hasSize(55);
        fixture.gate.targetRestarted();
        assertThat(fixture.gate.snapshot().limit()).isEqualTo(55);
    }

    /** Guards against full targets that serve less: some take a third longer for each request when nearly full. */
    @Test
    void slotsStayFreeWhereTargetsSlowDownWhenNearlyFull() {
        GateSettings sparing = GateSettings.ofAnnouncedSlots().withUsableShare(0.94);
        GateFixture fixture = new GateFixture(sparing.withAnnouncedSlots(16));
        List<Heard> asked = fixture.submit(3, 16);
        assertThat(asked.stream().filter(heard -> heard.permit != null)).hasSize(15);
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

    // A target has just started and is slow at first. Given all its slots at once it would time out on all of them.
    @Test
    void coldTargetIsGivenItsSlotsLittleByLittle() {
        GateFixture fixture = new GateFixture(GateSettings.defaults().withAnnouncedSlots(50));
        assertThat(fixture.gate.snapshot().limit()).isEqualTo(4);
        List<Heard> asked = new ArrayList<>();
        int before = 4;
        for (int i = 0; i < 100; i++) {
            asked.addAll(fixture.submit(3, 60));
            fixture.pass(25);
            succeedRunning(asked);
            int limit = fixture.gate.snapshot().limit();
            assertThat(limit).isBetween(before, 2 * before);
            before = limit;
        }
        assertThat(before).isEqualTo(50);
        fixture.gate.targetRestarted();
        assertThat(fixture.gate.snapshot().limit()).isEqualTo(4);
    }

    // Readers give up on slow pages and ask again. The target still works on the first ones; were their slots given out
    // again it would be sent more than its slots and slow down further.
    @Test
    void abandonedWorkHoldsItsSlotUntilTheTargetAnswers() {
        GateFixture fixture = new GateFixture(GateFixture.warm(1));
        Heard first = fixture.submit(3);
        first.handle.cancel();
        Heard second = fixture.submit(3);
        assertThat(second.waits()).isTrue();
        assertThat(fixture.gate.snapshot().abandoned()).isEqualTo(1);
        first.succeed();
        assertThat(second.admitted()).isTrue();
    }

    // A connection to the target goes silent with a request on it; its answer never comes. Its slot must come back.
    @Test
    void slotOfAnAnswerThatNeverComesIsTakenBackAfterTheHoldTime() {
        GateFixture fixture = new GateFixture(GateFixture.warm(1));
        Heard lost = fixture.submit(3);
        fixture.pass(30_000);
        assertThat(fixture.gate.snapshot().inFlight()).isEqualTo(1);
        fixture.pass(3_000);
        assertThat(fixture.gate.snapshot().inFlight()).isZero();
        Heard next = fixture.submit(3);
        lost.succeed();
        assertThat(next.admitted()).isTrue();
        assertThat(fixture.gate.snapshot().inFlight()).isEqualTo(1);
    }

    // The target hangs: it takes requests and answers none. No service time shows it, so the level has to fall by
    // itself.
    @Test
    void levelFallsWhenTheTargetHangs() {
        GateFixture fixture = new GateFixture(GateFixture.warm(4));
        learnServiceTime(fixture, 10);
        for (int i = 0; i < 100; i++) {
            fixture.submit(3, 4);
            fixture.pass(20);
        }
        assertThat(fixture.gate.level()).isLessThan(3 * ServiceLevel.STEPS + ServiceLevel.STEPS / 4);
    }

    @Test
    void drainRefusesWhatWaitsAndLetsFinishWhatRuns() {
        GateFixture fixture = new GateFixture(GateFixture.warm(1));
        Heard running = fixture.submit(0);
        Heard waiting = fixture.submit(0);
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
        Heard cancelled = fixture.submit(5);
        cancelled.handle.cancel();
        assertThat(cancelled.reason).isEqualTo(Reason.CANCELLED);
        assertThat(fixture.gate.snapshot().shedByRank()).hasSize(PriorityClass.RANKS);
        assertThat(fixture.gate.snapshot().shedByRank().get(5)).containsEntry(Reason.CANCELLED, 1L);
    }

    /** Ends what runs now; what the freed slots admit goes on. */
    @SafeVarargs
    private static void succeedRunning(List<Heard>... lists) {
        List<Heard> running =
                Stream.of(lists).flatMap(List::stream).filter(Heard::admitted).toList();
        running.forEach(Heard::succeed);
    }

    private static void learnServiceTime(GateFixture fixture, long millis) {
        for (int i = 0; i < 10; i++) {
            Heard heard = fixture.submit(3, 0, 60_000);
            fixture.pass(millis);
            heard.succeed();
        }
    }
}
