package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.soak.SoakEvent.Reply;
import org.junit.jupiter.api.Test;

final class AnswerCheckTest {

    private final CheckTrial trial =
            CheckTrial.of(new AnswerCheck()).order("a").ran("a").order("b");

    @Test
    void theTargetsWholeAnswerHolds() {
        assertThat(trial.answered("a", 200).broken()).isEmpty();
    }

    @Test
    void aFailureWithoutTheTargetsBodyHolds() {
        assertThat(trial.answered("a", new Reply(502, "", false, "")).broken()).isEmpty();
    }

    /** Guards against an answer that goes to another request on a shared connection. */
    @Test
    void theAnswerToAnotherRequestBreaksIt() {
        String other = Payload.answer("b", "body of b");
        assertThat(trial.answered("a", new Reply(200, "b", true, other)).broken())
                .hasSize(1);
    }

    /** Guards against an answer that was cut and looks whole. */
    @Test
    void aShortenedAnswerBreaksIt() {
        String whole = Payload.answer("a", "body of a");
        String cut = whole.substring(0, whole.length() - 1);
        assertThat(trial.answered("a", new Reply(200, "a", true, cut)).broken()).hasSize(1);
    }

    /** Guards against a success that a node made up. */
    @Test
    void aSuccessWithoutSignatureBreaksIt() {
        String whole = Payload.answer("a", "body of a");
        assertThat(trial.answered("a", new Reply(200, "a", false, whole)).broken())
                .hasSize(1);
    }

    /** Guards against a body that was cut on its way to the target. */
    @Test
    void anotherBodyAtTheTargetBreaksIt() {
        trial.send(new CallerRequest("c", Use.ORDER, 0, CheckTrial.KEY, "longer body of c"))
                .ran("c");
        assertThat(trial.broken()).hasSize(1);
    }

    /** Guards against a request that was smuggled inside another. */
    @Test
    void aRunThatNobodyAskedForBreaksIt() {
        assertThat(trial.ran("unknown").broken()).hasSize(1);
    }
}
