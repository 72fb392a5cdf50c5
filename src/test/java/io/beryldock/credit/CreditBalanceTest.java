package io.beryldock.credit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class CreditBalanceTest {

    private static final long EXPIRES_AT = 1_000;

    private final CreditBalance balance = new CreditBalance();

    /** Guards against a tree that never starts because it costs more than its entry node is granted in one round. */
    @Test
    void expensiveTreeStartsOnDebtThatTheNextGrantsRepay() {
        balance.add(60, EXPIRES_AT);
        assertThat(balance.covers(100, 0)).isTrue();
        balance.take(100);
        assertThat(balance.debt()).isEqualTo(40);
        assertThat(balance.covers(1, 0)).isFalse();
        balance.add(60, EXPIRES_AT);
        assertThat(balance.debt()).isZero();
        assertThat(balance.held(0)).isEqualTo(20);
    }

    /** Guards against many entry nodes that each start a tree with hardly any credits. */
    @Test
    void lessThanHalfOfATreeDoesNotStartIt() {
        balance.add(49, EXPIRES_AT);
        assertThat(balance.covers(100, 0)).isFalse();
    }

    /** Guards against credits of a past round that are used in addition to those of later rounds. */
    @Test
    void creditsExpire() {
        balance.add(100, EXPIRES_AT);
        balance.add(50, 2 * EXPIRES_AT);
        assertThat(balance.held(EXPIRES_AT)).isEqualTo(50);
        assertThat(balance.covers(101, EXPIRES_AT)).isFalse();
        assertThat(balance.held(2 * EXPIRES_AT)).isZero();
    }

    @Test
    void oldestCreditsAreUsedFirst() {
        balance.add(100, EXPIRES_AT);
        balance.add(50, 2 * EXPIRES_AT);
        balance.take(110);
        assertThat(balance.held(EXPIRES_AT)).isEqualTo(40);
    }
}
