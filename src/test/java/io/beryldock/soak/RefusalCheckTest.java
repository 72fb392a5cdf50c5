package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class RefusalCheckTest {

    private final CheckTrial trial = CheckTrial.of(new RefusalCheck()).order("a");

    /** Guards against a caller that sends again what has taken effect. */
    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void aRefusalOfWhatHasRunBreaksIt(int status) {
        assertThat(trial.ran("a").answered("a", status).broken()).hasSize(1);
    }

    /** Guards against a request that a target still gets after its caller was told that it never runs. */
    @Test
    void aRunAfterARefusalBreaksIt() {
        assertThat(trial.answered("a", 503).ran("a").broken()).hasSize(1);
    }

    @Test
    void aTrueRefusalAndAnUnknownEndHold() {
        trial.answered("a", 503).order("b").ran("b").answered("b", 502);
        assertThat(trial.broken()).isEmpty();
    }
}
