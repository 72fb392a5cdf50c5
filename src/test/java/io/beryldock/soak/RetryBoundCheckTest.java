package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class RetryBoundCheckTest {

    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final CheckTrial trial = CheckTrial.of(new RetryBoundCheck(0.2, WINDOW, 1));

    private void sendAndRepeat(int number, int repeated) {
        for (int i = 0; i < number; i++) {
            trial.part("p" + i).arrived("p" + i);
        }
        for (int i = 0; i < repeated; i++) {
            trial.after(Duration.ofMillis(1)).arrived("p" + i);
        }
    }

    /** Guards against repeats of all nodes that add up to more load than a failing service can carry. */
    @Test
    void repeatsBeyondTheShareAndTheSlackBreakIt() {
        sendAndRepeat(10, 4);
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void repeatsWithinThemHold() {
        sendAndRepeat(10, 3);
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void repeatsInWindowsApartHold() {
        sendAndRepeat(10, 3);
        trial.after(WINDOW.multipliedBy(2));
        trial.part("later").arrived("later").after(Duration.ofMillis(1)).arrived("p4");
        assertThat(trial.broken()).isEmpty();
    }

    /** Guards against repeats that nobody counts because the calls of a repeated run have ids of their own. */
    @Test
    void callsOfARepeatedRunAreRepeatsAndNoRequests() {
        sendAndRepeat(10, 1);
        for (int i = 0; i < 2; i++) {
            trial.part("p0", "1-" + i).arrived("p0.1-" + i);
        }
        assertThat(trial.broken()).isEmpty();
        trial.part("p0", "1-2").arrived("p0.1-2");
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void callsOfAFirstRunAreRequests() {
        sendAndRepeat(10, 0);
        for (int i = 0; i < 5; i++) {
            trial.part("p0", "1-" + i).arrived("p0.1-" + i);
        }
        sendAndRepeat(0, 4);
        assertThat(trial.broken()).isEmpty();
    }
}
