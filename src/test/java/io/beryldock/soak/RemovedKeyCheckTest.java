package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class RemovedKeyCheckTest {

    private static final Duration BOUND = Duration.ofSeconds(5);
    private static final Duration MOMENT = Duration.ofMillis(1);

    private final CheckTrial trial = CheckTrial.of(new RemovedKeyCheck(BOUND));

    /** Guards against a node that was cut off and still lets in whom the operators shut out. */
    @Test
    void aRunWithADeadKeyBreaksIt() {
        trial.keyRemoved().after(BOUND.plus(MOMENT)).order("a").ran("a");
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void aRunWithinTheBoundHolds() {
        trial.keyRemoved().after(BOUND.minus(MOMENT)).order("a").after(BOUND).ran("a");
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void aRefusalAfterTheBoundHolds() {
        trial.keyRemoved().after(BOUND.plus(MOMENT)).order("a").answered("a", 401);
        assertThat(trial.broken()).isEmpty();
    }
}
