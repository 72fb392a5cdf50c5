package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class NamedRateCheckTest {

    private static final double RATE = 10;
    private static final int ALLOWED = 65;

    private final CheckTrial trial = CheckTrial.of(new NamedRateCheck());
    private int requests;

    private void run(int number, Duration between) {
        for (int i = 0; i < number; i++) {
            String id = "p" + requests++;
            trial.after(between).part(id).ran(id);
        }
    }

    private void name(double rate) {
        trial.part("named").ran("named").named("named", rate, false).answered("named", 200);
    }

    /** Guards against a target in need that gets all that its slots allow. */
    @Test
    void moreThanTheNamedRateBreaksIt() {
        name(RATE);
        trial.after(Duration.ofSeconds(3));
        run(ALLOWED - 1, Duration.ofMillis(10));
        assertThat(trial.broken())
                .as("with the request that was answered first")
                .isEmpty();
        run(1, Duration.ofMillis(10));
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void requestsSoonAfterTheNamingHold() {
        name(RATE);
        run(2 * ALLOWED, Duration.ofMillis(10));
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void requestsOfANodeThatWasNotToldHold() {
        trial.part("named").ran("named").named("named", RATE, false).lost("named");
        trial.after(Duration.ofSeconds(3));
        run(2 * ALLOWED, Duration.ofMillis(10));
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void requestsOfANodeThatHasRestartedSinceHold() {
        name(RATE);
        trial.after(Duration.ofSeconds(3)).started();
        run(2 * ALLOWED, Duration.ofMillis(10));
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void requestsAfterTheEndOfTheLimitOrTheStartHold() {
        name(RATE);
        trial.after(Duration.ofSeconds(3));
        trial.part("open").ran("open").named("open", 0, false).answered("open", 200);
        run(2 * ALLOWED, Duration.ofMillis(10));
        name(RATE);
        trial.after(Duration.ofSeconds(3)).targetStarted();
        run(2 * ALLOWED, Duration.ofMillis(10));
        assertThat(trial.broken()).isEmpty();
    }
}
