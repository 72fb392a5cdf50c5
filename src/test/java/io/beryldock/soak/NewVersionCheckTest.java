package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class NewVersionCheckTest {

    private static final Duration LONG = Duration.ofSeconds(4);
    private static final Duration SHORT = Duration.ofSeconds(1);

    private final CheckTrial trial =
            CheckTrial.of(new NewVersionCheck()).started().after(LONG);

    /** Guards against a node that goes on by an older document than one that was confirmed. */
    @Test
    void aVersionThatANodeDoesNotKnowAfterTheBoundBreaksIt() {
        trial.written(5).after(LONG).probe("a", 5).answered("a", 404);
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void aVersionThatIsKnownHolds() {
        trial.written(5).after(LONG).probe("a", 5).answered("a", 200);
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void aVersionThatWasJustWrittenHolds() {
        trial.written(5).after(SHORT).probe("a", 5).answered("a", 404);
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void aNodeUnderAFaultOrShortlyAfterItHolds() {
        trial.written(5).after(LONG).faultBegan().probe("a", 5).answered("a", 404);
        trial.after(LONG).faultEnded().after(SHORT).probe("b", 5).answered("b", 404);
        assertThat(trial.broken()).isEmpty();
        trial.after(LONG).probe("c", 5).answered("c", 404);
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void aNodeThatHasJustStartedHolds() {
        trial.written(5).after(LONG).started().after(SHORT).probe("a", 5).answered("a", 404);
        assertThat(trial.broken()).isEmpty();
    }

    /** Guards against a node that misses a version because of the trouble of another one, and is not judged. */
    @Test
    void aNodeInTouchIsJudgedWhileAnotherIsUnderAFault() {
        trial.faultBegan(CheckTrial.RUNNER).written(5).after(LONG).probe("a", 5).answered("a", 404);
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void aNodeWithAFaultOfItsOwnHoldsUntilItWasCalm() {
        trial.written(5).faultBegan(CheckTrial.ENTRY).after(LONG).probe("a", 5).answered("a", 404);
        trial.faultEnded(CheckTrial.ENTRY).after(SHORT).probe("b", 5).answered("b", 404);
        assertThat(trial.broken()).isEmpty();
        trial.after(LONG).probe("c", 5).answered("c", 404);
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void aNodeThatIsAskedToStopHolds() {
        trial.written(5).after(LONG).stopAsked(CheckTrial.ENTRY).probe("a", 5).answered("a", 404);
        assertThat(trial.broken()).isEmpty();
    }
}
