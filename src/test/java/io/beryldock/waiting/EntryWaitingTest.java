package io.beryldock.waiting;

import static io.beryldock.waiting.EntryFixture.BROWSE;
import static io.beryldock.waiting.EntryFixture.LOOKUP;
import static io.beryldock.waiting.EntryFixture.ORDER;
import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.waiting.EntryFixture.TestCaller;
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
    void requestThatNeedsNoCreditsIsDecidedAtOnceWithoutTimer() {
        fixture.credits.governing = false;
        TestCaller caller = fixture.ask(BROWSE);
        assertThat(caller.decision.kind()).isEqualTo(EntryDecision.Kind.NOT_GOVERNED);
        assertThat(fixture.ask(BROWSE).pending).isSameAs(caller.pending);
        assertThat(fixture.timers.nextDue()).isEqualTo(Long.MAX_VALUE);
        assertThat(fixture.credits.demands).isZero();
    }

    @Test
    void requestStartsAtOnceWhenCreditsAreAvailable() {
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(fixture.ask(BROWSE).covered()).isTrue();
        assertThat(fixture.credits.demands).isEqualTo(1);
        assertThat(fixture.timers.nextDue()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void creditsAreGrantedByRankThenByArrival() {
        fixture.credits.slots(1);
        TestCaller early = fixture.ask(BROWSE);
        TestCaller late = fixture.ask(BROWSE);
        TestCaller important = fixture.ask(LOOKUP);
        fixture.credits.grantTrees(LOOKUP.tree(), 1);
        assertThat(important.covered()).isTrue();
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(early.covered()).isTrue();
        assertThat(late.isWaiting()).isTrue();
    }

    @Test
    void organisationWithLeastRecentServiceIsServedFirst() {
        fixture.credits.slots(1);
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(fixture.ask(BROWSE, "large").covered()).isTrue();
        TestCaller first = fixture.ask(BROWSE, "large");
        TestCaller second = fixture.ask(BROWSE, "small");
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(second.covered()).isTrue();
        assertThat(first.isWaiting()).isTrue();
    }

    /** Guards against a random outcome of each retry, which would keep some callers out while others never wait. */
    @Test
    void retryAtTheToldTimePrecedesNewRequestsOfItsRank() {
        fixture.credits.slots(0.09);
        TestCaller refused = fixture.ask(ORDER);
        assertThat(refused.refusedAtOnce()).isTrue();
        fixture.advance(refused.decision.retryAfterMillis());
        fixture.credits.slots(10);
        TestCaller fresh = fixture.ask(ORDER);
        refused.retry();
        fixture.credits.grantTrees(ORDER.tree(), 1);
        assertThat(refused.covered()).isTrue();
        assertThat(fresh.isWaiting()).isTrue();
    }

    /** Guards against capacity that stays unused while callers retry after their objective has passed. */
    @Test
    void retryAfterItsObjectiveIsServedAfterNewRequests() {
        fixture.credits.slots(0.1);
        TestCaller refused = fixture.ask(BROWSE);
        fixture.advance(refused.decision.retryAfterMillis());
        fixture.credits.slots(1);
        refused.retry();
        TestCaller fresh = fixture.ask(BROWSE);
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(fresh.covered()).isTrue();
        assertThat(refused.isWaiting()).isTrue();
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(refused.covered()).isTrue();
    }

    @Test
    void retryThatIsTooEarlyIsToldTheRestOfItsDelay() {
        TestCaller refused = fixture.ask(BROWSE);
        long told = refused.decision.retryAfterMillis();
        fixture.credits.slots(10);
        fixture.ask(BROWSE);
        fixture.advance(100);
        refused.retry();
        assertThat(refused.refused()).isTrue();
        assertThat(refused.decision.retryAfterMillis()).isBetween(told - 101, told - 99);
        assertThat(fixture.entry.snapshot().refused()).containsEntry(RefusalCause.TOO_EARLY, 1L);
    }

    @Test
    void requestThatCannotBeAnsweredInTimeIsRefusedAtOnceWithTheExpectedDelay() {
        fixture.credits.slots(0.5);
        List<TestCaller> waiting = new ArrayList<>();
        TestCaller last = fixture.ask(BROWSE);
        while (last.isWaiting()) {
            waiting.add(last);
            last = fixture.ask(BROWSE);
        }
        long expected = 2 * BROWSE.usual() * waiting.size();
        assertThat(waiting).isNotEmpty();
        assertThat(last.decision.retryAfterMillis()).isBetween(expected, 2 * expected);
    }

    @Test
    void requestThatWaitedInVainIsRefusedWhileAnotherEntryCanStillAnswer() {
        fixture.credits.slots(1);
        TestCaller caller = fixture.ask(LOOKUP);
        fixture.advance(249);
        assertThat(caller.isWaiting()).isTrue();
        fixture.advance(1);
        assertThat(caller.refused()).isTrue();
        assertThat(caller.decision.retryAfterMillis()).isPositive();
        assertThat(fixture.entry.snapshot().refused()).containsEntry(RefusalCause.WAITED_IN_VAIN, 1L);
        assertThat(fixture.timers.nextDue()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void cancelledRequestFreesItsPlace() {
        fixture.credits.slots(1);
        TestCaller first = fixture.ask(BROWSE);
        TestCaller second = fixture.ask(BROWSE);
        first.pending.cancel();
        assertThat(first.decision.kind()).isEqualTo(EntryDecision.Kind.GONE);
        assertThat(fixture.entry.snapshot().waiting()).isEqualTo(1);
        fixture.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(second.covered()).isTrue();
        first.pending.cancel();
        assertThat(fixture.timers.nextDue()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void stopRefusesWaitingAndLaterRequests() {
        fixture.credits.slots(10);
        List<TestCaller> waiting = List.of(fixture.ask(BROWSE), fixture.ask(LOOKUP), fixture.ask(BROWSE));
        fixture.entry.stop();
        assertThat(waiting).allMatch(TestCaller::refused);
        assertThat(fixture.ask(BROWSE).refused()).isTrue();
        assertThat(fixture.timers.nextDue()).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against requests that wait for credits that are no longer granted. */
    @Test
    void requestWhoseTreeNoLongerNeedsCreditsIsReleased() {
        fixture.credits.slots(10);
        TestCaller caller = fixture.ask(BROWSE);
        fixture.credits.governing = false;
        fixture.advance(50);
        assertThat(caller.decision.kind()).isEqualTo(EntryDecision.Kind.NOT_GOVERNED);
    }

    @Test
    void leastImportantAndLatestRequestIsRefusedBeyondTheBoundOfRequests() {
        EntryFixture small = EntryFixture.of(new WaitingSettings(2, 10_000));
        small.credits.slots(10);
        TestCaller early = small.ask(BROWSE);
        TestCaller late = small.ask(BROWSE);
        TestCaller important = small.ask(LOOKUP);
        assertThat(late.refused()).isTrue();
        assertThat(small.ask(BROWSE).refused()).isTrue();
        assertThat(early.isWaiting()).isTrue();
        assertThat(important.isWaiting()).isTrue();
        assertThat(small.entry.snapshot().refused()).containsEntry(RefusalCause.OVERFLOW, 2L);
    }

    @Test
    void leastImportantAndLatestRequestIsRefusedBeyondTheBoundOfBytes() {
        EntryFixture small = EntryFixture.of(new WaitingSettings(100, 2_500));
        small.credits.slots(10);
        TestCaller early = small.ask(BROWSE);
        TestCaller late = small.ask(BROWSE);
        TestCaller important = small.ask(LOOKUP);
        assertThat(late.refused()).isTrue();
        assertThat(early.isWaiting()).isTrue();
        assertThat(important.isWaiting()).isTrue();
        assertThat(small.entry.snapshot().bytes()).isEqualTo(2_000);
    }

    @Test
    void requestLargerThanTheBoundIsRefused() {
        EntryFixture small = EntryFixture.of(new WaitingSettings(100, 999));
        small.credits.slots(10);
        assertThat(small.ask(LOOKUP).refusedAtOnce()).isTrue();
    }

    /**
     * Guards against a stack overflow when each started request ends immediately and frees the credits of the next one.
     */
    @Test
    void startsThatEndImmediatelyDoNotNest() {
        EntryFixture large = EntryFixture.of(new WaitingSettings(20_000, Long.MAX_VALUE));
        large.credits.slots(1_000_000);
        List<TestCaller> waiting = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            TestCaller caller = large.ask(BROWSE);
            caller.pending.decision().thenRun(() -> large.credits.giveBack(BROWSE.tree(), null));
            waiting.add(caller);
        }
        assertThat(waiting).allMatch(TestCaller::isWaiting);
        large.credits.slots(0);
        large.credits.grantTrees(BROWSE.tree(), 1);
        assertThat(waiting).allMatch(TestCaller::covered);
    }

    /**
     * Guards against requests that are lost or decided twice when many threads send requests, cancel them and provide
     * credits.
     */
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
