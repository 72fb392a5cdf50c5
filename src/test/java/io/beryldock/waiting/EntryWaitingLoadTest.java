package io.beryldock.waiting;

import static io.beryldock.waiting.EntryFixture.BROWSE;
import static io.beryldock.waiting.EntryFixture.LOOKUP;
import static io.beryldock.waiting.EntryFixture.servedShare;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.beryldock.waiting.EntryFixture.Asked;
import io.beryldock.waiting.EntryFixture.Behaviour;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Loads that an entry has to bear while trees need credits. */
class EntryWaitingLoadTest {

    /** Browsing trees that 25 slots serve in a second. */
    private static final double ROOM = 100;

    private static final double SLOTS = ROOM * BROWSE.usual() / 1_000.0;

    /**
     * Guards against a burst that turns every answer late: who is let in is answered in time, the others know at once.
     */
    @Test
    void burstOf26TimesFor6Seconds() {
        EntryFixture fixture = EntryFixture.create();
        fixture.credits.fill(fixture.timers, SLOTS);
        List<Asked> usual = new ArrayList<>();
        List<Asked> burst = new ArrayList<>();
        fixture.load(BROWSE, 0.8 * ROOM, () -> fixture.nowMillis() < 20_000, fixture::ask, usual);
        fixture.pass(5_000);
        assertThat(fixture.entry.snapshot().refused()).isEmpty();
        fixture.load(BROWSE, 1.8 * ROOM, () -> fixture.nowMillis() < 11_000, fixture::ask, burst);
        fixture.pass(6_000);
        assertThat(fixture.entry.snapshot().waiting()).isPositive();
        fixture.pass(20_000);

        List<Asked> all = new ArrayList<>(usual);
        all.addAll(burst);
        assertThat(EntryFixture.served(all)).allMatch(asked -> asked.meetsObjective(1.4));
        List<Asked> refused = all.stream().filter(Asked::refused).toList();
        assertThat(refused.stream().filter(Asked::refusedAtOnce).count()).isGreaterThan(refused.size() * 9L / 10);
        long servedInBurst = all.stream()
                .filter(asked -> asked.covered() && asked.decidedAt >= 5_000 && asked.decidedAt < 11_000)
                .count();
        assertThat((double) servedInBurst).isCloseTo(6 * ROOM, within(0.05 * 6 * ROOM));
        assertThat(all).noneMatch(asked -> asked.refused() && asked.arrivedAt > 13_000);
    }

    /** Guards against callers that ask at once and often and so take the places of those that wait as they are told. */
    @Test
    void aThirdOfTheClientsThatRepeatAtOnceTakeNothingFromTheOthers() {
        double fair = servedOfTwoThirds(false);
        double beside = servedOfTwoThirds(true);
        assertThat(beside).isGreaterThan(fair - 0.02);
    }

    private static double servedOfTwoThirds(boolean abused) {
        EntryFixture fixture = EntryFixture.create();
        fixture.credits.fill(fixture.timers, SLOTS);
        List<Asked> others = new ArrayList<>();
        List<Asked> third = new ArrayList<>();
        Behaviour ofThird = abused ? fixture::askAtOnceAndOften : fixture::askAndReturn;
        fixture.load(BROWSE, 1.2 * ROOM, () -> fixture.nowMillis() < 20_000, fixture::askAndReturn, others);
        fixture.load(BROWSE, 0.6 * ROOM, () -> fixture.nowMillis() < 20_000, ofThird, third);
        fixture.pass(30_000);
        return servedShare(others);
    }

    /** Guards against one organisation that sends seven times its usual and gets what others then wait for in vain. */
    @Test
    void oneOrganisationAtSevenTimesItsUsualLeavesTheOthersTheirs() {
        EntryFixture fixture = EntryFixture.create();
        fixture.credits.fill(fixture.timers, SLOTS);
        List<Asked> others = new ArrayList<>();
        List<Asked> one = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            String name = "organisation-" + i;
            fixture.load(
                    BROWSE, 0.08 * ROOM, () -> fixture.nowMillis() < 20_000, kind -> fixture.ask(kind, name), others);
        }
        fixture.load(BROWSE, 0.56 * ROOM, () -> fixture.nowMillis() < 20_000, kind -> fixture.ask(kind, "hot"), one);
        fixture.pass(30_000);
        assertThat(servedShare(others)).isGreaterThan(0.97);
        assertThat(servedShare(one)).isBetween(0.3, 0.7);
        assertThat(fixture.entry.snapshot().served().size()).isLessThanOrEqualTo(10);
    }

    /** Guards against important callers who wait behind others for the same credits. */
    @Test
    void importantOnesDoNotWaitWhileTwiceTheRoomIsAskedByOthers() {
        EntryFixture fixture = EntryFixture.create();
        fixture.credits.fill(fixture.timers, SLOTS);
        List<Asked> lookups = new ArrayList<>();
        List<Asked> browsing = new ArrayList<>();
        fixture.load(LOOKUP, 0.5 * ROOM, () -> fixture.nowMillis() < 20_000, fixture::ask, lookups);
        fixture.load(BROWSE, 1.8 * ROOM, () -> fixture.nowMillis() < 20_000, fixture::ask, browsing);
        fixture.pass(30_000);
        assertThat(servedShare(lookups)).isGreaterThan(0.99);
        assertThat(lookups).allMatch(asked -> asked.meetsObjective(1.4));
        assertThat(EntryFixture.served(browsing)).allMatch(asked -> asked.meetsObjective(1.4));
    }

    /** Guards against refused callers who all come back in the same moment and are refused once more. */
    @Test
    void callersOfABurstWhoReturnWhenToldAreServed() {
        EntryFixture fixture = EntryFixture.create();
        fixture.credits.fill(fixture.timers, SLOTS);
        List<Asked> all = new ArrayList<>();
        fixture.load(BROWSE, 10 * ROOM, () -> fixture.nowMillis() < 300, fixture::askAndReturn, all);
        fixture.pass(10_000);
        assertThat(servedShare(all)).isGreaterThan(0.95);
    }
}
