package io.beryldock.credit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.beryldock.call.NodeId;
import io.beryldock.credit.CreditHome.Round;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class CreditHomeTest {

    private static final NodeId GATE = NodeId.of("gate");
    private static final NodeId OTHER = NodeId.of("other-home");
    private static final NodeId ENTRY = NodeId.of("entry");
    private static final Claimant CLAIMANT = new Claimant(1, Optional.empty());
    private static final int SLOTS = 100;
    private static final long ROUND = CreditRound.SHORTEST_NANOS;
    private static final double MUCH = 1e12;

    private final CreditHome home = new CreditHome(CreditFleet::byRank);
    private long now = Duration.ofHours(1).toNanos();

    private void report() {
        home.report(GATE, new GateRoom.Report(SLOTS, SLOTS, 0, 66e6), now);
    }

    private Round round(NodeId... entries) {
        home.open(ROUND, now);
        for (NodeId entry : entries) {
            home.claim(entry, ImmutableList.of(new WantedCredit(CLAIMANT, MUCH)), now);
        }
        now += ROUND;
        return home.close(1, now);
    }

    private static double given(Round round) {
        return round.granted().values().stream()
                .flatMap(ImmutableList::stream)
                .mapToDouble(Double::doubleValue)
                .sum();
    }

    private void hearOther(double slots, double wanted) {
        home.heard(OTHER, new HomeSummary(slots, 1, 1, 1, ImmutableMap.of(CLAIMANT, wanted)), now);
    }

    /** Guards against a round that is given out by a home that is lost and by the one that takes over. */
    @Test
    void homeThatTakesOverGivesOutNothingForOneRound() {
        report();
        Round first = round(ENTRY);
        assertThat(first.known()).isTrue();
        assertThat(given(first)).isZero();
        assertThat(given(round(ENTRY))).isCloseTo(SLOTS * (double) ROUND, within(SLOTS * 0.01 * ROUND));
    }

    /** Load pattern: claims of many times the room, at each round, from any number of entries. */
    @Test
    void roundsGiveOutNoMoreThanTheRoom() {
        NodeId second = NodeId.of("second");
        double given = 0;
        for (int i = 0; i < 100; i++) {
            report();
            given += given(i % 3 == 0 ? round(ENTRY) : round(ENTRY, second));
        }
        assertThat(given).isLessThanOrEqualTo(SLOTS * (double) ROUND * 101);
    }

    /** Guards against room that a gate had before the home's process was paused. */
    @Test
    void reportsFromBeforeAPauseDoNotCount() {
        report();
        round(ENTRY);
        round(ENTRY);
        now += Duration.ofMillis(600).toNanos();
        Round after = round(ENTRY);
        assertThat(after.known()).isFalse();
        assertThat(given(after)).isZero();
    }

    /** Guards against the time of a pause that is given out afterwards, all at once. */
    @Test
    void timeOfAPauseIsNotMadeUpFor() {
        report();
        round(ENTRY);
        now += Duration.ofMillis(900).toNanos();
        report();
        assertThat(given(round(ENTRY))).isLessThanOrEqualTo(SLOTS * (double) EntryClaim.KEPT_ROUNDS * ROUND);
    }

    /** Guards against room in a data centre that is cut off, and against claims there that nobody serves. */
    @Test
    void homesThatAreSilentForASecondCountNoLonger() {
        report();
        round(ENTRY);
        hearOther(3 * SLOTS, 0);
        report();
        assertThat(given(round(ENTRY))).isCloseTo(4 * SLOTS * (double) ROUND, within(SLOTS * 0.1 * ROUND));
        for (int i = 0; i < 25; i++) {
            report();
            round(ENTRY);
        }
        report();
        assertThat(given(round(ENTRY))).isLessThanOrEqualTo(1.1 * SLOTS * (double) ROUND);
    }

    /** Two data centres that want the same share the room of both alike. */
    @Test
    void roomOfAllIsDividedAmongTheClaimsOfAll() {
        report();
        round(ENTRY);
        report();
        hearOther(0, MUCH / ROUND);
        assertThat(given(round(ENTRY))).isCloseTo(SLOTS * (double) ROUND / 2, within(SLOTS * 0.1 * ROUND));
    }

    /** Guards against a service held for short because one of its targets is full or slow. */
    @Test
    void roomIsUnknownWhileMostTargetsAreNotFull() {
        report();
        home.open(ROUND, now);
        home.claim(ENTRY, ImmutableList.of(new WantedCredit(CLAIMANT, MUCH)), now);
        now += ROUND;
        assertThat(home.close(2, now).known()).isFalse();
    }
}
