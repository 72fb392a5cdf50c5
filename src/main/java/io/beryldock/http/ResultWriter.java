package io.beryldock.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.beryldock.call.Answer;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import jakarta.ws.rs.core.Response;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Converts the result of a call to an HTTP response: the target's answer, or problem+json with the reason and remedy.
 *
 * <p>Stateless, thread safe. Both kinds of response have the outcome in a header.
 */
final class ResultWriter {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PROBLEM_TYPE = "application/problem+json";
    private static final long MILLIS_PER_SECOND = 1000;

    private ResultWriter() {}

    static Response write(CallResult result, String requestId) {
        Response.ResponseBuilder response =
                result.answer().map(ResultWriter::answer).orElseGet(() -> problem(result, requestId));
        response.header(BeryldockHeaders.OUTCOME, result.outcome().name());
        if (!requestId.isEmpty()) {
            response.header(BeryldockHeaders.REQUEST, requestId);
        }
        if (result.retryAfterMillis() > 0) {
            response.header("Retry-After", ceilingSeconds(result.retryAfterMillis()));
        }
        return response.build();
    }

    private static Response.ResponseBuilder answer(Answer answer) {
        Response.ResponseBuilder response = Response.status(answer.status());
        answer.headers().list().forEach(header -> response.header(header.name(), header.value()));
        if (!answer.body().isEmpty()) {
            response.entity(answer.body().toByteArray());
        }
        return response;
    }

    private static Response.ResponseBuilder problem(CallResult result, String requestId) {
        Reason reason = result.reason().orElse(Reason.INTERNAL);
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("type", "about:blank");
        fields.put("title", reason.message());
        fields.put("status", reason.status());
        fields.put("outcome", result.outcome().name());
        fields.put("reason", reason.name());
        fields.put("detail", result.detail());
        fields.put("remedy", reason.remedy());
        fields.put("request", requestId);
        if (result.retryAfterMillis() > 0) {
            fields.put("retryAfterMillis", result.retryAfterMillis());
        }
        return Response.status(reason.status()).type(PROBLEM_TYPE).entity(json(fields));
    }

    private static byte[] json(Map<String, Object> fields) {
        try {
            return MAPPER.writeValueAsBytes(fields);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("serializing the problem details to JSON failed", e);
        }
    }

    private static long ceilingSeconds(long millis) {
        return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }
}
