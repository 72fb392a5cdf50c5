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

/** Executes an operator's statement from the body of a POST request and responds with JSON. Thread safe. */
public final class OperatorServlet extends HttpServlet {

    /** Path of the servlet on the admin listener. */
    public static final String PATH = "/operator/query";

    private static final long serialVersionUID = 1L;
    private static final ObjectMapper MAPPER = Jackson.newObjectMapper();
    private static final int MAX_STATEMENT_BYTES = 4096;

    /** Exceeds the longest time that a change may take to be written to the store and applied by all nodes. */
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
                .whenComplete((result, failure) -> write(async, response, result));
    }

    private static void write(AsyncContext async, HttpServletResponse response, OperatorResponse result) {
        try {
            response.setStatus(result.status().httpStatus());
            response.setContentType("application/json");
            response.getOutputStream().write(MAPPER.writeValueAsBytes(result));
        } catch (IOException e) {
            throw new UncheckedIOException("writing the response to the operator failed", e);
        } finally {
            async.complete();
        }
    }
}
