package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class PlannedStopCheckTest {

    private static final Duration CALM = Duration.ofSeconds(9);

    private static final Duration LATE = PlannedStopCheck.LONGEST_STOP.plusMillis(1);

    private final CheckTrial trial = CheckTrial.of(new PlannedStopCheck());

    /** Guards against a stop of the entry node that closes a connection whose request is at work. */
    @Test
    void aLostAnswerOfTheStoppingEntryBreaksIt() {
        trial.order("a").ran("a").stopAsked(CheckTrial.ENTRY).lost("a").runEnded();
        assertThat(trial.broken()).hasSize(1);
    }

    /** Guards against a stop of the target's node before the answer has gone back. */
    @Test
    void aFailureInPlaceOfTheStoppingRunnersAnswerBreaksIt() {
        trial.order("a").ran("a").stopAsked(CheckTrial.RUNNER).answered("a", 502);
        trial.stopEnded(CheckTrial.RUNNER).after(LATE).runEnded();
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void aRequestThatNoTargetHadHolds() {
        trial.order("a").stopAsked(CheckTrial.ENTRY).lost("a").runEnded();
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void aLossInAFaultOrSoonAfterHolds() {
        trial.stopAsked(CheckTrial.ENTRY).faultBegan().order("a").ran("a").lost("a");
        trial.faultEnded().order("b").ran("b").lost("b").runEnded();
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void aLossWithoutAStopIsNoMatterOfThisPromise() {
        trial.stopAsked(CheckTrial.ENTRY)
                .after(CALM)
                .order("a")
                .ran("a")
                .lost("a")
                .runEnded();
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void anAnswerHolds() {
        trial.order("a").ran("a").stopAsked(CheckTrial.ENTRY).answered("a", 200).runEnded();
        assertThat(trial.broken()).isEmpty();
    }

    /** Guards against a busy machine that is taken for a fault of the stop: all links are given up together. */
    @Test
    void aLossWhileTheMachineHoldsNodesUpHoldsAlsoInHindsight() {
        trial.order("a").ran("a").stopAsked(CheckTrial.ENTRY).answered("a", 502);
        trial.heldUp().stopEnded(CheckTrial.ENTRY).after(LATE).runEnded();
        assertThat(trial.broken()).isEmpty();
    }

    /** Guards against a node that hangs in its stop and stays away from service. */
    @Test
    void aStopThatDoesNotEndBreaksIt() {
        trial.stopAsked(CheckTrial.ENTRY).after(LATE).runEnded();
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void aStopThatEndsHolds() {
        trial.stopAsked(CheckTrial.ENTRY).after(CALM).stopEnded(CheckTrial.ENTRY);
        trial.after(LATE).runEnded();
        assertThat(trial.broken()).isEmpty();
    }
}
