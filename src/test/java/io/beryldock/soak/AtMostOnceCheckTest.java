package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class AtMostOnceCheckTest {

    /** Guards against a repeat of a request that takes effect. */
    @Test
    void aSecondRunOfAnOrderBreaksIt() {
        CheckTrial trial =
                CheckTrial.of(new AtMostOnceCheck()).order("a").ran("a").ran("a");
        assertThat(trial.broken()).hasSize(1).first().asString().contains("request a");
    }

    @Test
    void oneRunAndRepeatsOfIdempotentRequestsHold() {
        CheckTrial trial = CheckTrial.of(new AtMostOnceCheck());
        trial.order("a").ran("a").part("b").ran("b").ran("b");
        assertThat(trial.broken()).isEmpty();
    }
}
