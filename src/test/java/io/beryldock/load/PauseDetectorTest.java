package io.beryldock.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class PauseDetectorTest {

    private static final long STEP = PauseDetector.PAUSE_NANOS / 2;

    private final PauseDetector pauses = new PauseDetector(0);

    /** Guards against reports that waited in the buffers of a paused node and look recent when it resumes. */
    @Test
    void callSentBeforePauseIsDetected() {
        pauses.onEvent(STEP);
        pauses.onEvent(10 * STEP);
        pauses.onEvent(11 * STEP);
        assertThat(pauses.hasPausedSince(9 * STEP)).isTrue();
        assertThat(pauses.hasPausedSince(10 * STEP)).isFalse();
    }

    @Test
    void regularEventsAreNoPause() {
        for (int i = 0; i < 10; i++) {
            pauses.onEvent(i * STEP);
        }
        assertThat(pauses.hasPausedSince(0)).isFalse();
    }
}
