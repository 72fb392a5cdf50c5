package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class EndlessResponseCheckTest {

    private static final Duration LATE = EndlessResponseCheck.MAX_LENGTH.plusMillis(1);

    private final CheckTrial trial = CheckTrial.of(new EndlessResponseCheck());

    /** Guards against a node that reads as fast as a target sends, until the time limit of the call. */
    @Test
    void reactsToResponseThatIsReadOn() {
        trial.endlessBegan(1).endlessEnded(1, EndlessResponseCheck.MAX_BYTES + 1);
        assertThat(trial.broken()).hasSize(1);
    }

    /** Guards against a connection that nobody closes while bytes drip in. */
    @Test
    void reactsToConnectionThatStaysOpen() {
        trial.endlessBegan(1).after(LATE).runEnded();
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void acceptsResponseThatEndsWithinTheBounds() {
        trial.endlessBegan(1).endlessEnded(1, EndlessResponseCheck.MAX_BYTES).after(LATE);
        trial.endlessBegan(2).runEnded();
        assertThat(trial.broken()).isEmpty();
    }
}
