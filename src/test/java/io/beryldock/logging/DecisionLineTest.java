package io.beryldock.logging;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class DecisionLineTest {

    @Test
    void aLineReadsBackAsItWasWritten() {
        DecisionLine line = new DecisionLine(DecisionLine.at("gate")
                .put(DecisionLine.ID, "a-1")
                .put(DecisionLine.DETAIL, "refused at the gate of back, id=none")
                .buildOrThrow());
        assertThat(DecisionLine.parse(line.toString())).contains(line);
    }

    /** Guards against a caller whose id forges another value. */
    @Test
    void blanksInAnIdEndNoValue() {
        DecisionLine line = new DecisionLine(DecisionLine.at("caller")
                .put(DecisionLine.ASKED, "x outcome=ANSWERED\nid=y")
                .put(DecisionLine.OUTCOME, "NOT_RUN")
                .put(DecisionLine.DETAIL, "")
                .buildOrThrow());
        DecisionLine read = DecisionLine.parse(line.toString()).orElseThrow();
        assertThat(read.get(DecisionLine.OUTCOME)).isEqualTo("NOT_RUN");
        assertThat(read.get(DecisionLine.ID)).isEmpty();
    }

    @Test
    void anotherLineIsNoDecision() {
        assertThat(DecisionLine.parse("settings were read again")).isEmpty();
    }
}
