package io.beryldock.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.beryldock.command.OperatorResponse;
import io.beryldock.command.OperatorService;
import io.dropwizard.jackson.Jackson;
import jakarta.servlet.AsyncContext;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Takes operators' statements as the body of a POST and answers with JSON. Thread safe. */
public final class OperatorServlet extends HttpServlet {

    /** Where it stands on the admin listener. */
    public static final String PATH = "/operator/query";

    private static final long serialVersionUID = 1L;
    private static final ObjectMapper MAPPER = Jackson.newObjectMapper();
    private static final int MAX_STATEMENT_BYTES = 4096;

    /** Longer than a change may take: to be written by the store, and to be in force everywhere. */
    private static final long TIMEOUT_MILLIS = 60_000;

    private static final String OPERATOR = "Beryldock-Operator";

    private final transient OperatorService operators;
    private final transient OperatorAccess access;

    public OperatorServlet(OperatorService operators, OperatorAccess access) {
        this.operators = operators;
        this.access = access;
    }

    @Override
    protected void doPost(HttpServletRequest request, HttpServletResponse response) throws IOException {
        if (!access.allows(request.getHeader("Authorization"))) {
            response.sendError(
                    HttpServletResponse.SC_UNAUTHORIZED, "show the token of admin.tokenFile: ctl --token-file FILE");
            return;
        }
        byte[] body = request.getInputStream().readNBytes(MAX_STATEMENT_BYTES);
        String operator = Optional.ofNullable(request.getHeader(OPERATOR)).orElse("operator");
        AsyncContext async = request.startAsync();
        async.setTimeout(TIMEOUT_MILLIS);
        operators
                .handle(operator, new String(body, StandardCharsets.UTF_8))
                .whenComplete((answer, failure) -> write(async, response, answer));
    }

    private static void write(AsyncContext async, HttpServletResponse response, OperatorResponse answer) {
        try {
            response.setStatus(answer.status().httpStatus());
            response.setContentType("application/json");
            response.getOutputStream().write(MAPPER.writeValueAsBytes(answer));
        } catch (IOException e) {
            throw new UncheckedIOException("the operator went away", e);
        } finally {
            async.complete();
        }
    }
}
