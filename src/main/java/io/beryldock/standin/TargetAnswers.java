package io.beryldock.standin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import io.beryldock.http.BeryldockHeaders;
import io.beryldock.standin.InnerCaller.InnerAnswer;
import io.beryldock.standin.StandinTargetSettings.InnerCall;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;

/**
 * Writes the answers of a target, each naming the request it answers, so that a crossed answer is seen.
 *
 * <p>Stateless. Example: {@code
 * {"service":"lists","path":"/lists/1","echo":"t7","run":12,"nanos":51000,"calls":1,"inner":[{...}]}};
 * {@code nanos} is the time from its arrival to its answer, {@code calls} the number of inner calls that it needs, and
 * each
 * element of {@code inner} the whole answer to one.
 */
final class TargetAnswers {

    private static final JsonFactory JSON = new ObjectMapper().getFactory();
    private static final String TYPE = "application/json";
    private static final int OK = 200;
    private static final int ERROR = 500;
    private static final int INNER_FAILED = 502;
    private static final int UNAVAILABLE = 503;

    private TargetAnswers() {}

    /** Refuses a request that has not run and will not. */
    static void refuse(HttpExchange exchange, String reason) {
        exchange.with(BeryldockHeaders.REFUSED, BeryldockHeaders.NOT_RUN);
        exchange.answer(UNAVAILABLE, "text/plain", "refused before it ran: " + reason);
    }

    static void error(HttpExchange exchange) {
        exchange.answer(ERROR, "text/plain", "failed in its run");
    }

    /** A 503 that says nothing of whether the request ran. */
    static void bareError(HttpExchange exchange) {
        exchange.answer(UNAVAILABLE, "text/plain", "unavailable");
    }

    /** The page, or 502 with the failed inner call. */
    static void answer(
            HttpExchange exchange,
            String service,
            RunRecord record,
            ImmutableList<InnerCall> calls,
            List<InnerAnswer> answers,
            long nanos) {
        boolean good = answers.stream().allMatch(InnerAnswer::isGood);
        exchange.answer(good ? OK : INNER_FAILED, TYPE, body(service, record, calls, answers, nanos));
    }

    private static byte[] body(
            String service, RunRecord record, ImmutableList<InnerCall> calls, List<InnerAnswer> answers, long nanos) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("service", service);
            json.writeStringField("path", record.path());
            json.writeStringField("echo", record.echo());
            json.writeNumberField("run", record.order());
            json.writeNumberField("nanos", nanos);
            json.writeNumberField("calls", calls.size());
            json.writeArrayFieldStart("inner");
            for (int i = 0; i < answers.size(); i++) {
                writeInner(json, calls.get(i), answers.get(i));
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory never fails", e);
        }
        return out.toByteArray();
    }

    private static void writeInner(JsonGenerator json, InnerCall call, InnerAnswer answer) throws IOException {
        if (answer.isGood()) {
            json.writeRawValue(answer.body());
            return;
        }
        json.writeStartObject();
        json.writeStringField("path", call.path());
        json.writeNumberField("status", answer.status());
        json.writeStringField("outcome", answer.outcome());
        json.writeStringField("failed", answer.body());
        json.writeEndObject();
    }
}
