package io.beryldock.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** The paths by which a tester steers a target: faults, run log, leaving, health. Stateless, thread safe. */
final class TargetControl {

    /** A request with this header and the marker as its value ends the target. */
    static final String CRASH_HEADER = "Crash-Marker";

    private static final ObjectMapper JSON =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;

    private TargetControl() {}

    /** Answers a steering request; false for any other. */
    static boolean handle(HttpExchange exchange, StandinTarget target) {
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /faults" -> exchange.answerJson(OK, json(target.faults()));
            case "POST /faults" -> switchFaults(exchange, target);
            case "GET /runs" -> exchange.answerJson(OK, target.runs().toJson());
            case "POST /leave" -> {
                var unused = target.leave();
                exchange.answerJson(ACCEPTED, "{\"state\":\"LEAVING\"}");
            }
            case "POST /silence" -> {
                exchange.answerJson(OK, "{}");
                target.silenceOpenConnections();
            }
            // As misleading as the users' own: it says well whatever the load.
            case "GET /health" -> exchange.answerJson(OK, "{\"healthy\":true,\"load\":0}");
            default -> {
                return false;
            }
        }
        return true;
    }

    private static void switchFaults(HttpExchange exchange, StandinTarget target) {
        try {
            target.setFaults(JSON.readValue(exchange.body(), TargetFaults.class));
            exchange.answerJson(OK, json(target.faults()));
        } catch (IOException e) {
            String problem = e.getMessage() == null ? e.toString() : e.getMessage();
            exchange.answer(BAD_REQUEST, "text/plain", "faults are a JSON object; correct it: " + problem);
        }
    }

    private static String json(TargetFaults faults) {
        try {
            return JSON.writeValueAsString(faults);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("faults are always JSON", e);
        }
    }
}
