package io.beryldock.http;

import com.google.common.flogger.FluentLogger;
import io.beryldock.call.CallResult;
import io.beryldock.call.Outcome;
import io.beryldock.call.Reason;
import io.beryldock.forwarding.CancelScope;
import io.beryldock.forwarding.IncomingRequest;
import io.beryldock.forwarding.IncomingRequest.Origin;
import io.beryldock.forwarding.RequestHandler;
import io.beryldock.forwarding.RequestOutcome;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HEAD;
import jakarta.ws.rs.OPTIONS;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.container.Suspended;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.Response;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.ToIntFunction;

/**
 * Accepts all requests on the callers' and the loopback listener and answers each asynchronously when its result is
 * available.
 *
 * <p>Thread safe. The local port determines the origin of a request, so that a caller can't impersonate a target.
 * Responses are written on the responder's threads: a write blocks while a caller reads slowly, and must block neither
 * the control thread nor the I/O threads for peers and the target.
 */
@Path("/{path: .*}")
public final class ForwardResource {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final RequestHandler handler;
    private final RequestReader reader;
    private final ToIntFunction<HttpServletRequest> callersPort;
    private final Executor responder;

    ForwardResource(
            RequestHandler handler,
            RequestReader reader,
            ToIntFunction<HttpServletRequest> callersPort,
            Executor responder) {
        this.handler = handler;
        this.reader = reader;
        this.callersPort = callersPort;
        this.responder = responder;
    }

    @GET
    public void get(@Context HttpServletRequest servlet, @Suspended AsyncResponse response) {
        forward(servlet, response);
    }

    @HEAD
    public void head(@Context HttpServletRequest servlet, @Suspended AsyncResponse response) {
        forward(servlet, response);
    }

    @POST
    public void post(@Context HttpServletRequest servlet, @Suspended AsyncResponse response) {
        forward(servlet, response);
    }

    @PUT
    public void put(@Context HttpServletRequest servlet, @Suspended AsyncResponse response) {
        forward(servlet, response);
    }

    @DELETE
    public void delete(@Context HttpServletRequest servlet, @Suspended AsyncResponse response) {
        forward(servlet, response);
    }

    @PATCH
    public void patch(@Context HttpServletRequest servlet, @Suspended AsyncResponse response) {
        forward(servlet, response);
    }

    @OPTIONS
    public void options(@Context HttpServletRequest servlet, @Suspended AsyncResponse response) {
        forward(servlet, response);
    }

    private void forward(HttpServletRequest servlet, AsyncResponse response) {
        Origin origin = servlet.getLocalPort() == callersPort.applyAsInt(servlet) ? Origin.CALLER : Origin.TARGET;
        IncomingRequest request;
        try {
            request = reader.read(servlet, origin);
        } catch (RequestException e) {
            response.resume(ResultWriter.write(CallResult.notRun(e.reason(), e.getMessage()), ""));
            return;
        } catch (IOException e) {
            response.resume(ResultWriter.write(CallResult.notRun(Reason.BAD_REQUEST, "the body broke off"), ""));
            return;
        }
        CancelScope scope = CancelScope.create();
        HangupDetector.watch(servlet, scope::cancel);
        handler.handle(request, scope)
                .whenCompleteAsync(
                        (outcome, failure) -> {
                            HangupDetector.unwatch(servlet);
                            scope.close();
                            if (failure != null) {
                                log.atSevere().withCause(failure).log(
                                        "handling of request %s %s failed", request.method(), request.path());
                            }
                            complete(response, Optional.ofNullable(outcome));
                        },
                        responder);
    }

    /** Completes the response even if writing the result fails; otherwise the caller would wait indefinitely. */
    private static void complete(AsyncResponse response, Optional<RequestOutcome> outcome) {
        try {
            CallResult result = outcome.map(RequestOutcome::result).orElse(CallResult.unknown(Reason.INTERNAL, ""));
            String id = outcome.map(handled -> handled.root().toString()).orElse("");
            response.resume(ResultWriter.write(result, id));
        } catch (RuntimeException | Error e) {
            log.atSevere().withCause(e).log("writing the response failed; result: %s", outcome);
            response.resume(Response.serverError()
                    .header(BeryldockHeaders.OUTCOME, Outcome.UNKNOWN.name())
                    .build());
        }
    }
}
