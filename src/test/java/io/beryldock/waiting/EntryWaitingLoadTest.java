package io.beryldock.waiting;

import static io.beryldock.waiting.EntryFixture.BROWSE;
import static io.beryldock.waiting.EntryFixture.LOOKUP;
import static io.beryldock.waiting.EntryFixture.servedShare;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.beryldock.waiting.EntryFixture.Behaviour;
import io.beryldock.waiting.EntryFixture.TestCaller;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the loads that an entry node has to handle while call trees need credits. */
class EntryWaitingLoadTest {

    /** Browsing trees per second that 25 slots can process. */
    private static final double TREES_PER_SECOND = 100;

    private static final double SLOTS = TREES_PER_SECOND * BROWSE.usual() / 1_000.0;

    /**
     * Guards against a burst that makes every answer late: admitted requests must be answered in time, and the others
     * refused at once.
     */
    @Test
    void burstOf2Point6TimesTheCapacityFor6Seconds() {
        EntryFixture fixture = EntryFixture.create();
        fixture.credits.fill(fixture.timers, SLOTS);
        List<TestCaller> usual = new ArrayList<>();
        List<TestCaller> burst = new ArrayList<>();
        fixture.load(BROWSE, 0.8 * TREES_PER_SECOND, () -> fixture.nowMillis() < 20_000, fixture::ask, usual);
        fixture.advance(5_000);
        assertThat(fixture.entry.snapshot().refused()).isEmpty();
        fixture.load(BROWSE, 1.8 * TREES_PER_SECOND, () -> fixture.nowMillis() < 11_000, fixture::ask, burst);
        fixture.advance(6_000);
        assertThat(fixture.entry.snapshot().waiting()).isPositive();
        fixture.advance(20_000);

        List<TestCaller> all = new ArrayList<>(usual);
        all.addAll(burst);
        assertThat(EntryFixture.served(all)).allMatch(caller -> caller.meetsObjective(1.4));
        List<TestCaller> refused = all.stream().filter(TestCaller::refused).toList();
        assertThat(refused.stream().filter(TestCaller::refusedAtOnce).count()).isGreaterThan(refused.size() * 9L / 10);
        long servedInBurst = all.stream()
                .filter(caller -> caller.covered() && caller.decidedAt >= 5_000 && caller.decidedAt < 11_000)
                .count();
        assertThat((double) servedInBurst).isCloseTo(6 * TREES_PER_SECOND, within(0.05 * 6 * TREES_PER_SECOND));
        assertThat(all).noneMatch(caller -> caller.refused() && caller.arrivedAt > 13_000);
    }

    /**
     * Guards against callers that retry immediately and often, and so take the places of callers that wait as they were
     * told.
     */
    @Test
    void callersThatRetryImmediatelyTakeNoCapacityFromOthers() {
        double fair = servedShareOfOthers(false);
        double withImmediateRetries = servedShareOfOthers(true);
        assertThat(withImmediateRetries).isGreaterThan(fair - 0.02);
    }

    private static double servedShareOfOthers(boolean retryImmediately) {
        EntryFixture fixture = EntryFixture.create();
        fixture.credits.fill(fixture.timers, SLOTS);
        List<TestCaller> others = new ArrayList<>();
        List<TestCaller> third = new ArrayList<>();
        Behaviour behaviourOfThird = retryImmediately ? fixture::askAndRetryRepeatedly : fixture::askAndRetry;
        fixture.load(BROWSE, 1.2 * TREES_PER_SECOND, () -> fixture.nowMillis() < 20_000, fixture::askAndRetry, others);
        fixture.load(BROWSE, 0.6 * TREES_PER_SECOND, () -> fixture.nowMillis() < 20_000, behaviourOfThird, third);
        fixture.advance(30_000);
        return servedShare(others);
    }

    /**
     * Guards against one organisation that sends seven times its usual load and receives capacity that other
     * organisations then lack.
     */
    @Test
    void oneOrganisationAtSevenTimesItsUsualLoadTakesNoCapacityFromOthers() {
        EntryFixture fixture = EntryFixture.create();
        fixture.credits.fill(fixture.timers, SLOTS);
        List<TestCaller> others = new ArrayList<>();
        List<TestCaller> one = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            String name = "organisation-" + i;
            fixture.load(
                    BROWSE,
                    0.08 * TREES_PER_SECOND,
                    () -> fixture.nowMillis() < 20_000,
                    kind -> fixture.ask(kind, name),
                    others);
        }
        fixture.load(
                BROWSE,
                0.56 * TREES_PER_SECOND,
                () -> fixture.nowMillis() < 20_000,
                kind -> fixture.ask(kind, "hot"),
                one);
        fixture.advance(30_000);
        assertThat(servedShare(others)).isGreaterThan(0.97);
        assertThat(servedShare(one)).isBetween(0.3, 0.7);
        assertThat(fixture.entry.snapshot().served().size()).isLessThanOrEqualTo(10);
    }

    /** Guards against important requests that wait behind others for the same credits. */
    @Test
    void importantRequestsDoNotWaitWhileOthersDemandTwiceTheCapacity() {
        EntryFixture fixture = EntryFixture.create();
        fixture.credits.fill(fixture.timers, SLOTS);
        List<TestCaller> lookups = new ArrayList<>();
        List<TestCaller> browsing = new ArrayList<>();
        fixture.load(LOOKUP, 0.5 * TREES_PER_SECOND, () -> fixture.nowMillis() < 20_000, fixture::ask, lookups);
        fixture.load(BROWSE, 1.8 * TREES_PER_SECOND, () -> fixture.nowMillis() < 20_000, fixture::ask, browsing);
        fixture.advance(30_000);
        assertThat(servedShare(lookups)).isGreaterThan(0.99);
        assertThat(lookups).allMatch(caller -> caller.meetsObjective(1.4));
        assertThat(EntryFixture.served(browsing)).allMatch(caller -> caller.meetsObjective(1.4));
    }

    /** Guards against refused callers that all retry at the same moment and are refused again. */
    @Test
    void callersOfABurstThatRetryWhenToldAreServed() {
        EntryFixture fixture = EntryFixture.create();
        fixture.credits.fill(fixture.timers, SLOTS);
        List<TestCaller> all = new ArrayList<>();
        fixture.load(BROWSE, 10 * TREES_PER_SECOND, () -> fixture.nowMillis() < 300, fixture::askAndRetry, all);
        fixture.advance(10_000);
        assertThat(servedShare(all)).isGreaterThan(0.95);
    }
}
