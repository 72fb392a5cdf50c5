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
    private static final long ROUND = CreditRound.MIN_NANOS;
    private static final double MUCH = 1e12;

    private final CreditHome home = new CreditHome(CreditFleet::byRank);
    private long now = Duration.ofHours(1).toNanos();

    private void report() {
        home.report(GATE, new GateCapacity.Report(SLOTS, SLOTS, 0, 66e6), now);
    }

    private Round round(NodeId... entries) {
        home.open(ROUND, now);
        for (NodeId entry : entries) {
            home.claim(entry, ImmutableList.of(new CreditAmount(CLAIMANT, MUCH)), now);
        }
        now += ROUND;
        return home.close(1, now);
    }

    private static double grantedNanos(Round round) {
        return round.granted().values().stream()
                .flatMap(ImmutableList::stream)
                .mapToDouble(Double::doubleValue)
                .sum();
    }

    private void receiveRemoteSummary(double slots, double wanted) {
        home.onRemoteSummary(OTHER, new HomeSummary(slots, 1, 1, 1, ImmutableMap.of(CLAIMANT, wanted)), now);
    }

    /** Guards against a round that is granted both by a lost home node and by the node that takes over from it. */
    @Test
    void homeThatTakesOverGrantsNothingForOneRound() {
        report();
        Round first = round(ENTRY);
        assertThat(first.known()).isTrue();
        assertThat(grantedNanos(first)).isZero();
        assertThat(grantedNanos(round(ENTRY))).isCloseTo(SLOTS * (double) ROUND, within(SLOTS * 0.01 * ROUND));
    }

    /** Load pattern: claims of many times the capacity in each round, by a varying number of entry nodes. */
    @Test
    void roundsGrantNoMoreThanTheCapacity() {
        NodeId second = NodeId.of("second");
        double grantedNanos = 0;
        for (int i = 0; i < 100; i++) {
            report();
            grantedNanos += grantedNanos(i % 3 == 0 ? round(ENTRY) : round(ENTRY, second));
        }
        assertThat(grantedNanos).isLessThanOrEqualTo(SLOTS * (double) ROUND * 101);
    }

    /** Guards against grants from capacity that was reported before the process of the home node paused. */
    @Test
    void reportsFromBeforeAPauseDoNotCount() {
        report();
        round(ENTRY);
        round(ENTRY);
        now += Duration.ofMillis(600).toNanos();
        Round after = round(ENTRY);
        assertThat(after.known()).isFalse();
        assertThat(grantedNanos(after)).isZero();
    }

    /** Guards against the time of a pause being granted afterwards, all at once. */
    @Test
    void timeOfAPauseIsNotGrantedAfterwards() {
        report();
        round(ENTRY);
        now += Duration.ofMillis(900).toNanos();
        report();
        assertThat(grantedNanos(round(ENTRY))).isLessThanOrEqualTo(SLOTS * (double) EntryClaim.MAX_ROUNDS * ROUND);
    }

    /** Guards against counting the capacity of a data centre that is cut off, and claims there that nobody serves. */
    @Test
    void homesSilentForASecondAreLeftOut() {
        report();
        round(ENTRY);
        receiveRemoteSummary(3 * SLOTS, 0);
        report();
        assertThat(grantedNanos(round(ENTRY))).isCloseTo(4 * SLOTS * (double) ROUND, within(SLOTS * 0.1 * ROUND));
        for (int i = 0; i < 25; i++) {
            report();
            round(ENTRY);
        }
        report();
        assertThat(grantedNanos(round(ENTRY))).isLessThanOrEqualTo(1.1 * SLOTS * (double) ROUND);
    }

    /** Two data centres with equal claims share the capacity of both equally. */
    @Test
    void capacityOfAllDataCentresIsDividedAmongAllClaims() {
        report();
        round(ENTRY);
        report();
        receiveRemoteSummary(0, MUCH / ROUND);
        assertThat(grantedNanos(round(ENTRY))).isCloseTo(SLOTS * (double) ROUND / 2, within(SLOTS * 0.1 * ROUND));
    }

    /** Guards against a service that is considered in shortage because one of its targets is full or slow. */
    @Test
    void capacityIsUnknownWhileMostTargetsAreNotFull() {
        report();
        home.open(ROUND, now);
        home.claim(ENTRY, ImmutableList.of(new CreditAmount(CLAIMANT, MUCH)), now);
        now += ROUND;
        assertThat(home.close(2, now).known()).isFalse();
    }
}
