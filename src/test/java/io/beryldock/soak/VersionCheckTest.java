package io.beryldock.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class VersionCheckTest {

    private final CheckTrial trial = CheckTrial.of(new VersionCheck()).started();

    /** Guards against a node that takes an old document from another node for a new one. */
    @Test
    void aRouteThatIsUnknownAgainBreaksIt() {
        trial.probe("a", 5).answered("a", 200).probe("b", 3).answered("b", 404);
        assertThat(trial.broken()).hasSize(1);
    }

    @Test
    void aVersionThatIsNotKnownYetHolds() {
        trial.probe("a", 5).answered("a", 200).probe("b", 7).answered("b", 404);
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void aProbeThatWasSentBeforeTheVersionWasSeenHolds() {
        trial.probe("a", 5).probe("b", 5).answered("b", 200).answered("a", 404);
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void anotherLifeMayKnowLess() {
        trial.probe("a", 5).answered("a", 200).started().probe("b", 5).answered("b", 404);
        assertThat(trial.broken()).isEmpty();
    }

    @Test
    void aNodeThatKnowsNoDocumentYetHolds() {
        trial.probe("a", 5).answered("a", 200).probe("b", 5).answered("b", 503);
        assertThat(trial.broken()).isEmpty();
    }
}
