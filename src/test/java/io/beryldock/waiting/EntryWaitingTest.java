package io.beryldock.waiting;

import static io.beryldock.waiting.EntryFixture.BROWSE;
import static io.beryldock.waiting.EntryFixture.LOOKUP;
import static io.beryldock.waiting.EntryFixture.ORDER;
import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.waiting.EntryFixture.Asked;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EntryWaitingTest {

    private final EntryFixture fixture = EntryFixture.create();

    @Test
    void whereNothingIsShortItIsDecidedAtOnceAndNoTimerRuns() {
        fixture.credits.governing = false;
        Asked asked = fixture.ask(BROWSE);
        assertThat(asked.decision.kind()).isEqualTo(EntryDecision.Kind.NOT_GOVERNED);
        assertThat(fixture.ask(BROWSE).pending).isSameAs(asked.pending);
        assertThat(fixture.timers.nextDue()).isEqualTo(Long.MAX_VALUE);
        assertThat(fixture.credits.demands).isZero();
    }

    @Test
    void requestStartsAtOnceWhenItsCreditsAreThere() {
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(fixture.ask(BROWSE).covered()).isTrue();
        assertThat(fixture.credits.demands).isEqualTo(1);
        assertThat(fixture.timers.nextDue()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void creditsGoByRankThenToTheEarlier() {
        fixture.credits.slots(1);
        Asked early = fixture.ask(BROWSE);
        Asked late = fixture.ask(BROWSE);
        Asked important = fixture.ask(LOOKUP);
        fixture.credits.grantTrees(LOOKUP.tree(), 1);
        assertThat(important.covered()).isTrue();
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(early.covered()).isTrue();
        assertThat(late.waits()).isTrue();
    }

    @Test
    void organisationThatWasGivenLeastGoesFirst() {
        fixture.credits.slots(1);
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(fixture.ask(BROWSE, "large").covered()).isTrue();
        Asked first = fixture.ask(BROWSE, "large");
        Asked second = fixture.ask(BROWSE, "small");
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(second.covered()).isTrue();
        assertThat(first.waits()).isTrue();
    }

    /** Guards against a lottery at each return, which keeps some out while others never wait. */
    @Test
    void whoComesBackWhenToldGoesBeforeNewOnesOfItsRank() {
        fixture.credits.slots(0.09);
        Asked refused = fixture.ask(ORDER);
        assertThat(refused.refusedAtOnce()).isTrue();
        fixture.pass(refused.decision.retryAfterMillis());
        fixture.credits.slots(10);
        Asked fresh = fixture.ask(ORDER);
        refused.askAgain();
        fixture.credits.grantTrees(ORDER.tree(), 1);
        assertThat(refused.covered()).isTrue();
        assertThat(fresh.waits()).isTrue();
    }

    /** Guards against room that nobody takes while callers come back after their objective. */
    @Test
    void whoComesBackAfterItsObjectiveTakesWhatNewOnesLeave() {
        fixture.credits.slots(0.1);
        Asked refused = fixture.ask(BROWSE);
        fixture.pass(refused.decision.retryAfterMillis());
        fixture.credits.slots(1);
        refused.askAgain();
        Asked fresh = fixture.ask(BROWSE);
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(fresh.covered()).isTrue();
        assertThat(refused.waits()).isTrue();
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(refused.covered()).isTrue();
    }

    @Test
    void whoComesBackTooEarlyIsToldTheRestOfItsTime() {
        Asked refused = fixture.ask(BROWSE);
        long told = refused.decision.retryAfterMillis();
        fixture.credits.slots(10);
        fixture.ask(BROWSE);
        fixture.pass(100);
        refused.askAgain();
        assertThat(refused.refused()).isTrue();
        assertThat(refused.decision.retryAfterMillis()).isBetween(told - 101, told - 99);
        assertThat(fixture.entry.snapshot().refused()).containsEntry(RefusalCause.TOO_EARLY, 1L);
    }

    @Test
    void whoCanNotBeAnsweredInTimeIsRefusedAtOnceAndToldWhenRoomIsExpected() {
        fixture.credits.slots(0.5);
        List<Asked> waiting = new ArrayList<>();
        Asked last = fixture.ask(BROWSE);
        while (last.waits()) {
            waiting.add(last);
            last = fixture.ask(BROWSE);
        }
        long expected = 2 * BROWSE.usual() * waiting.size();
        assertThat(waiting).isNotEmpty();
        assertThat(last.decision.retryAfterMillis()).isBetween(expected, 2 * expected);
    }

    @Test
    void whoWaitedInVainIsRefusedWhileAnotherEntryCouldStillAnswer() {
        fixture.credits.slots(1);
        Asked asked = fixture.ask(LOOKUP);
        fixture.pass(249);
        assertThat(asked.waits()).isTrue();
        fixture.pass(1);
        assertThat(asked.refused()).isTrue();
        assertThat(asked.decision.retryAfterMillis()).isPositive();
        assertThat(fixture.entry.snapshot().refused()).containsEntry(RefusalCause.WAITED_IN_VAIN, 1L);
        assertThat(fixture.timers.nextDue()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void clientThatLeavesFreesItsPlace() {
        fixture.credits.slots(1);
        Asked first = fixture.ask(BROWSE);
        Asked second = fixture.ask(BROWSE);
        first.pending.leave();
        assertThat(first.decision.kind()).isEqualTo(EntryDecision.Kind.GONE);
        assertThat(fixture.entry.snapshot().waiting()).isEqualTo(1);
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(second.covered()).isTrue();
        first.pending.leave();
        assertThat(fixture.timers.nextDue()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void plannedStopAnswersAllThatWaitAndAllThatComeLater() {
        fixture.credits.slots(10);
        List<Asked> waiting = List.of(fixture.ask(BROWSE), fixture.ask(LOOKUP), fixture.ask(BROWSE));
        fixture.entry.stop();
        assertThat(waiting).allMatch(Asked::refused);
        assertThat(fixture.ask(BROWSE).refused()).isTrue();
        assertThat(fixture.timers.nextDue()).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against requests that wait for credits which nobody gives out any more. */
    @Test
    void treeThatNeedsNoCreditsAnyMoreIsLetGo() {
        fixture.credits.slots(10);
        Asked asked = fixture.ask(BROWSE);
        fixture.credits.governing = false;
        fixture.pass(50);
        assertThat(asked.decision.kind()).isEqualTo(EntryDecision.Kind.NOT_GOVERNED);
    }

    @Test
    void beyondTheBoundOfRequestsTheLeastImportantAndLatestLeaves() {
        EntryFixture small = EntryFixture.of(new WaitingSettings(2, 10_000));
        small.credits.slots(10);
        Asked early = small.ask(BROWSE);
        Asked late = small.ask(BROWSE);
        Asked important = small.ask(LOOKUP);
        assertThat(late.refused()).isTrue();
        assertThat(small.ask(BROWSE).refused()).isTrue();
        assertThat(early.waits()).isTrue();
        assertThat(important.waits()).isTrue();
        assertThat(small.entry.snapshot().refused()).containsEntry(RefusalCause.OVERFLOW, 2L);
    }

    @Test
    void beyondTheBoundOfBytesTheLeastImportantAndLatestLeaves() {
        EntryFixture small = EntryFixture.of(new WaitingSettings(100, 2_500));
        small.credits.slots(10);
        Asked early = small.ask(BROWSE);
        Asked late = small.ask(BROWSE);
        Asked important = small.ask(LOOKUP);
        assertThat(late.refused()).isTrue();
        assertThat(early.waits()).isTrue();
        assertThat(important.waits()).isTrue();
        assertThat(small.entry.snapshot().bytes()).isEqualTo(2_000);
    }

    @Test
    void requestLargerThanTheBoundSendsNobodyAway() {
        EntryFixture small = EntryFixture.of(new WaitingSettings(100, 999));
        small.credits.slots(10);
        assertThat(small.ask(LOOKUP).refusedAtOnce()).isTrue();
    }

    /** Guards against a stack that overflows when each start ends at once and frees the credits of the next. */
    @Test
    void startsThatEndAtOnceFollowOneAnother() {
        EntryFixture large = EntryFixture.of(new WaitingSettings(20_000, Long.MAX_VALUE));
        large.credits.slots(1_000_000);
        List<Asked> waiting = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            Asked asked = large.ask(BROWSE);
            asked.pending.decision().thenRun(() -> large.credits.giveBack(BROWSE.tree(), null));
            waiting.add(asked);
        }
        assertThat(waiting).allMatch(Asked::waits);
        large.credits.slots(0);
        large.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(waiting).allMatch(Asked::covered);
    }

    /** Guards against a request that is lost or decided twice when many threads ask, leave and bring credits. */
    @Test
    void eachRequestIsDecidedOnceWithManyThreads() throws Exception {
        ConcurrentRun run = new ConcurrentRun();
        ExecutorService threads = Executors.newFixedThreadPool(4);
        List<Future<?>> all = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            all.add(threads.submit(run::askAndLeave));
        }
        for (Future<?> each : all) {
            each.get(1, TimeUnit.MINUTES);
        }
        threads.shutdown();
        run.stop();
        assertThat(run.decided()).isEqualTo(run.asked());
    }
}
