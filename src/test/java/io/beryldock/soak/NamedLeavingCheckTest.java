package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class NamedLeavingCheckTest {

    private static final Duration DRAIN = Duration.ofSeconds(2);

    private final CheckTrial trial = CheckTrial.of(new NamedLeavingCheck());

    private CheckTrial leave() {
        return trial.part("a").ran("a").named("a", 0, true).answered("a", 200);
    }

    /** Guards against requests to a target whose leaving the node of the request has passed on. */
    @Test
    void requestSentLaterBreaksIt() {
        leave().after(DRAIN.plusMillis(1)).part("b").ran("b");
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void requestSentBeforeHolds() {
        leave().after(DRAIN).part("b").after(DRAIN).ran("b");
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void nextStartOfTheTargetHolds() {
        leave().after(DRAIN.plusMillis(1)).targetStarted().part("b").ran("b");
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void nodeThatHasRestartedSinceHolds() {
        leave().after(DRAIN.plusMillis(1)).started().part("b").ran("b");
        assertThat(trial.broken()).isEmpty();
    }
}
