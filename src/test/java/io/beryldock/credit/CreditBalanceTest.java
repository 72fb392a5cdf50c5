package io.beryldock.credit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class CreditBalanceTest {

    private static final long LAPSES = 1_000;

    private final CreditBalance balance = new CreditBalance();

    /** Guards against a tree that costs more than its entry's grant of one round and so would never start. */
    @Test
    void dearTreeStartsOnDebtThatTheNextGrantsPay() {
        balance.add(60, LAPSES);
        assertThat(balance.covers(100, 0)).isTrue();
        balance.take(100);
        assertThat(balance.debt()).isEqualTo(40);
        assertThat(balance.covers(1, 0)).isFalse();
        balance.add(60, LAPSES);
        assertThat(balance.debt()).isZero();
        assertThat(balance.held(0)).isEqualTo(20);
    }

    /** Guards against many entries that each start a tree on next to nothing. */
    @Test
    void lessThanHalfATreeStartsNone() {
        balance.add(49, LAPSES);
        assertThat(balance.covers(100, 0)).isFalse();
    }

    /** Guards against credits of a past round that are used together with those of later ones. */
    @Test
    void creditsLapse() {
        balance.add(100, LAPSES);
        balance.add(50, 2 * LAPSES);
        assertThat(balance.held(LAPSES)).isEqualTo(50);
        assertThat(balance.covers(101, LAPSES)).isFalse();
        assertThat(balance.held(2 * LAPSES)).isZero();
    }

    @Test
    void oldestCreditsAreUsedFirst() {
        balance.add(100, LAPSES);
        balance.add(50, 2 * LAPSES);
        balance.take(110);
        assertThat(balance.held(LAPSES)).isEqualTo(40);
    }
}
