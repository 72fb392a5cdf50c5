package io.beryldock.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.call.TargetNotice;
import java.time.Duration;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class RequestRateLimitTest {

    private static final long START = Duration.ofHours(1).toNanos();
    private static final OptionalDouble UNNAMED = OptionalDouble.of(TargetNotice.UNLIMITED);

    private final RequestRateLimit limit = new RequestRateLimit(START);

    private static long at(long millis) {
        return START + Duration.ofMillis(millis).toNanos();
    }

    private static OptionalDouble rate(double perSecond) {
        return OptionalDouble.of(perSecond);
    }

    /** Admits as many requests as the limit permits when tried every millisecond of the time. */
    private int admit(long fromMillis, long toMillis) {
        int admitted = 0;
        for (long millis = fromMillis; millis < toMillis; millis++) {
            while (limit.permits(at(millis))) {
                limit.admitted(at(millis));
                admitted++;
            }
        }
        return admitted;
    }

    @Test
    void limitThatWasNamedHoldsFromThenOn() {
        assertThat(limit.permits(at(0))).isTrue();
        assertThat(limit.onAnswer(rate(20), at(0), at(100))).isTrue();
        assertThat(admit(100, 10_100)).isBetween(195, 206);
    }

    @Test
    void answerWithoutTheLimitEndsIt() {
        limit.onAnswer(rate(20), at(0), at(100));
        assertThat(limit.onAnswer(UNNAMED, at(200), at(300))).isTrue();
        assertThat(limit.isLimited()).isFalse();
        assertThat(limit.tokens(at(300))).isEqualTo(Integer.MAX_VALUE);
    }

    /** Guards against a slow answer that was begun before the limit was named and ends the limit. */
    @Test
    void answerToRequestSentBeforeTheLimitWasNamedDoesNotEndIt() {
        limit.onAnswer(rate(20), at(50), at(100));
        assertThat(limit.onAnswer(UNNAMED, at(60), at(900))).isFalse();
        assertThat(limit.isLimited()).isTrue();
    }

    /** Guards against a slow answer that still names a limit which a later answer has ended. */
    @Test
    void answerToRequestSentBeforeTheEndDoesNotStartTheLimitAgain() {
        limit.onAnswer(rate(20), at(0), at(100));
        limit.onAnswer(UNNAMED, at(200), at(300));
        assertThat(limit.onAnswer(rate(20), at(150), at(400))).isFalse();
        assertThat(limit.isLimited()).isFalse();
        assertThat(limit.onAnswer(rate(20), at(350), at(500))).isTrue();
    }

    /** Guards against an older value that arrives after the newer one and replaces it. */
    @Test
    void valueOfTheLaterRequestHolds() {
        limit.onAnswer(rate(10), at(50), at(100));
        assertThat(limit.onAnswer(rate(40), at(20), at(150))).isFalse();
        assertThat(limit.ratePerSecond()).isEqualTo(10);
        assertThat(limit.onAnswer(rate(40), at(120), at(200))).isTrue();
        assertThat(admit(200, 4_200)).isBetween(155, 172);
    }

    @Test
    void unreadableLimitNeitherStartsNorEndsOne() {
        assertThat(limit.onAnswer(OptionalDouble.empty(), at(0), at(100))).isFalse();
        assertThat(limit.isLimited()).isFalse();
        limit.onAnswer(rate(20), at(200), at(300));
        assertThat(limit.onAnswer(OptionalDouble.empty(), at(400), at(500))).isFalse();
        assertThat(limit.isLimited()).isTrue();
    }

    /** Guards against a target that names no room at all and never gets a request that shows the end of the limit. */
    @Test
    void limitOfNothingStillLetsFewRequestsPass() {
        limit.onAnswer(rate(0), at(0), at(100));
        assertThat(admit(100, 4_100)).isBetween(2, 4);
        assertThat(admit(4_100, 8_100)).isBetween(2, 3);
    }

    @Test
    void fractionalLimitIsKept() {
        limit.onAnswer(rate(0.75), at(0), at(100));
        assertThat(admit(100, 40_100)).isBetween(29, 32);
    }

    @Test
    void enormousLimitRestrictsNothing() {
        limit.onAnswer(rate(1e20), at(0), at(100));
        assertThat(limit.tokens(at(200))).isEqualTo(Integer.MAX_VALUE);
    }

    /** Guards against a burst of saved requests after a pause of the node. */
    @Test
    void pauseSavesNoMoreThanAShortBurst() {
        limit.onAnswer(rate(20), at(0), at(100));
        assertThat(limit.tokens(at(60_000))).isEqualTo(6);
    }

    /**
     * Guards against a target that counts requests from before it named its limit: the window of four seconds that ends
     * three seconds later contains a second at the earlier rate.
     */
    @Test
    void requestsOfTheLastSecondBeforeTheLimitAreCompensated() {
        double named = 20;
        for (int before = 20; before <= 100; before += 10) {
            RequestRateLimitTest run = new RequestRateLimitTest();
            for (int i = 0; i < before; i++) {
                run.limit.admitted(at(1_000L * i / before));
            }
            run.limit.onAnswer(rate(named), at(500), at(1_000));
            int after = run.admit(1_000, 4_000);
            assertThat(before + after).as("%d before", before).isLessThanOrEqualTo((int) (1.5 * named * 4) + 5);
            assertThat(after).as("%d before", before).isPositive();
            assertThat(run.admit(4_000, 14_000)).isBetween(195, 206);
        }
    }

    @Test
    void loweredLimitCompensatesTheRequestsUnderTheEarlierOne() {
        limit.onAnswer(rate(100), at(0), at(0));
        int before = admit(0, 5_000) - admit(5_000, 5_001);
        assertThat(before).isPositive();
        limit.onAnswer(rate(25), at(4_900), at(5_000));
        assertThat(100 + admit(5_001, 8_000)).isLessThanOrEqualTo(155);
    }

    @Test
    void reportOfAnotherNodeAppliesOnlyUntilTheFirstAnswer() {
        assertThat(limit.onPeerReport(TargetNotice.UNLIMITED, at(0))).isFalse();
        assertThat(limit.onPeerReport(20, at(0))).isTrue();
        assertThat(limit.onPeerReport(30, at(10))).isFalse();
        assertThat(limit.onAnswer(UNNAMED, at(20), at(30))).isTrue();
        assertThat(limit.onPeerReport(20, at(40))).isFalse();
        assertThat(limit.isLimited()).isFalse();
    }
}
