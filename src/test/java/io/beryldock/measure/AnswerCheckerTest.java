package io.beryldock.measure;

import static org.assertj.core.api.Assertions.assertThat;

import io.beryldock.measure.UserRequest.Verdict;
import org.junit.jupiter.api.Test;

final class AnswerCheckerTest {

    private static final String INNER = "{\"path\":\"/c\",\"echo\":\"%s\",\"nanos\":1,\"calls\":0,\"inner\":[]}";

    private static Verdict judge(int status, String outcome, String body) {
        return AnswerChecker.judge(status, outcome, body, "t7", "/lists/1");
    }

    private static String page(String path, String echo, int calls, String... inner) {
        return "{\"path\":\"" + path + "\",\"echo\":\"" + echo + "\",\"nanos\":5,\"calls\":" + calls + ",\"inner\":["
                + String.join(",", inner) + "]}";
    }

    @Test
    void aWholeAnswerToItsOwnRequestIsComplete() {
        String body = page("/lists/1", "t7", 2, INNER.formatted("t7.0"), INNER.formatted("t7.1"));
        assertThat(judge(200, "ANSWERED", body)).isEqualTo(Verdict.COMPLETE);
    }

    /** A late answer to another reader's request arrives on a reader's connection: she sees the other's list. */
    @Test
    void anAnswerToAnotherRequestIsCrossed() {
        assertThat(judge(200, "ANSWERED", page("/lists/1", "t8", 0))).isEqualTo(Verdict.CROSSED);
        assertThat(judge(200, "ANSWERED", page("/lists/2", "t7", 0))).isEqualTo(Verdict.CROSSED);
    }

    /** The page is hers, but one part of it was meant for another page. */
    @Test
    void anInnerAnswerToAnotherCallIsCrossed() {
        String body = page("/lists/1", "t7", 2, INNER.formatted("t7.0"), INNER.formatted("t9.1"));
        assertThat(judge(200, "ANSWERED", body)).isEqualTo(Verdict.CROSSED);
        String swapped = page("/lists/1", "t7", 2, INNER.formatted("t7.1"), INNER.formatted("t7.0"));
        assertThat(judge(200, "ANSWERED", swapped)).isEqualTo(Verdict.CROSSED);
    }

    @Test
    void anAnswerThatLacksAPartIsIncomplete() {
        assertThat(judge(200, "ANSWERED", page("/lists/1", "t7", 2, INNER.formatted("t7.0"))))
                .isEqualTo(Verdict.INCOMPLETE);
        assertThat(judge(200, "ANSWERED", "{\"path\":\"/lists/1\",\"ec")).isEqualTo(Verdict.INCOMPLETE);
        assertThat(judge(200, "ANSWERED", "")).isEqualTo(Verdict.INCOMPLETE);
    }

    @Test
    void refusalsAndFailuresAreNotGoodAnswers() {
        assertThat(judge(503, "NOT_RUN", "")).isEqualTo(Verdict.NOT_RUN);
        assertThat(judge(504, "UNKNOWN", "")).isEqualTo(Verdict.UNKNOWN);
        assertThat(judge(502, "ANSWERED", page("/lists/1", "t7", 0))).isEqualTo(Verdict.FAILED);
        assertThat(judge(200, "", page("/lists/1", "t7", 0))).isEqualTo(Verdict.NO_ANSWER);
    }

    @Test
    void onlyCallsWithoutInnerCallsTellTheirOwnTime() {
        assertThat(AnswerChecker.ownNanos(page("/lists/1", "t7", 0))).hasValue(5);
        assertThat(AnswerChecker.ownNanos(page("/lists/1", "t7", 1))).isEmpty();
    }
}
