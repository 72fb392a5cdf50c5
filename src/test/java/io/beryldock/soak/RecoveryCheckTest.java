package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class RecoveryCheckTest {

    private static final Duration LATE = RecoveryCheck.BOUND.plusMillis(1);

    private final RecoveryCheck check = new RecoveryCheck();
    private final CheckTrial trial = CheckTrial.of(check);

    /** Guards against nodes that all wait for each other after the death of all. */
    @Test
    void noSuccessWithinTheBoundBreaksIt() {
        trial.allBack().after(LATE).runEnded();
        assertThat(trial.broken()).hasSize(1);
        assertThat(check.isWaiting()).isFalse();
    }

    /** Guards against a run that ends before the promise could be seen to hold. */
    @Test
    void itWaitsUntilASuccess() {
        trial.allBack().order("a").answered("a", 503);
        assertThat(check.isWaiting()).isTrue();
        trial.order("b").answered("b", 200);
        assertThat(check.isWaiting()).isFalse();
    }

    @Test
    void aSuccessWithinTheBoundHolds() {
        trial.allBack().order("a").after(RecoveryCheck.BOUND).answered("a", 200);
        trial.after(LATE).runEnded();
        assertThat(trial.broken()).isEmpty();
    }
}
