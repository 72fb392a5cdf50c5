package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ConfirmedDepartureCheckTest {

    private static final Duration DRAIN = Duration.ofSeconds(2);

    private final CheckTrial trial = CheckTrial.of(new ConfirmedDepartureCheck());

    /** Guards against requests to a target whose departure its node has confirmed. */
    @Test
    void requestSentLaterBreaksIt() {
        trial.departureConfirmed().after(DRAIN.plusMillis(1)).part("a").ran("a");
        assertThat(trial.broken()).hasSize(1);
    }

    /** Guards against a departure that a restart of its node undoes. */
    @Test
    void requestSentAfterARestartOfTheNodeBreaksIt() {
        trial.departureConfirmed()
                .started()
                .after(DRAIN.plusMillis(1))
                .part("a")
                .ran("a");
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void repeatedConfirmationPostponesNothing() {
        trial.departureConfirmed()
                .after(DRAIN)
                .departureConfirmed()
                .after(Duration.ofMillis(1))
                .part("a")
                .ran("a");
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void requestSentBeforeHolds() {
        trial.departureConfirmed().after(DRAIN).part("a").after(DRAIN).ran("a");
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void nextStartOfTheTargetHolds() {
        trial.departureConfirmed()
                .after(DRAIN.plusMillis(1))
                .targetStarted()
                .part("a")
                .ran("a");
        assertThat(trial.broken()).isEmpty();
    }
}
