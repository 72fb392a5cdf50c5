package io.beryldock.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.beryldock.measure.UserRequest.Verdict;
import java.util.OptionalLong;

/**
 * Judges whether an answer is the whole answer to its own request.
 *
 * <p>Immutable, thread safe. Each part of an answer names the token of the call it answers; that of the n-th inner
 * call is
 * the outer one's, a dot and n.
 */
final class AnswerChecker {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;

    private AnswerChecker() {}

    /** Judges the response to an attempt. */
    static Verdict judge(int status, String outcome, String body, String token, String path) {
        return switch (outcome) {
            case "NOT_RUN" -> Verdict.NOT_RUN;
            case "UNKNOWN" -> Verdict.UNKNOWN;
            case "ANSWERED" -> status == OK ? judge(body, token, path) : Verdict.FAILED;
            default -> Verdict.NO_ANSWER;
        };
    }

    private static Verdict judge(String body, String token, String path) {
        try {
            JsonNode page = JSON.readTree(body);
            if (!page.has("path")) {
                return Verdict.INCOMPLETE;
            }
            if (!page.path("path").asText().equals(path)) {
                return Verdict.CROSSED;
            }
            return judge(page, token);
        } catch (JsonProcessingException e) {
            return Verdict.INCOMPLETE;
        }
    }

    private static Verdict judge(JsonNode part, String token) {
        if (!part.has("echo") || !part.path("inner").isArray()) {
            return Verdict.INCOMPLETE;
        }
        if (!part.get("echo").asText().equals(token)) {
            return Verdict.CROSSED;
        }
        int expected = part.path("calls").asInt();
        if (part.get("inner").size() != expected) {
            return Verdict.INCOMPLETE;
        }
        for (int i = 0; i < expected; i++) {
            Verdict inner = judge(part.get("inner").get(i), token + "." + i);
            if (inner != Verdict.COMPLETE) {
                return inner;
            }
        }
        return Verdict.COMPLETE;
    }

    /** Time that the target spent on a request without inner calls, in nanoseconds; empty for others. */
    static OptionalLong ownNanos(String body) {
        try {
            JsonNode page = JSON.readTree(body);
            boolean isLeaf = page.path("calls").asInt(1) == 0;
            return isLeaf ? OptionalLong.of(page.path("nanos").asLong()) : OptionalLong.empty();
        } catch (JsonProcessingException e) {
            return OptionalLong.empty();
        }
    }
}
