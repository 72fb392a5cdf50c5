package io.beryldock.http;

import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.container.Suspended;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/** Issues tickets for non-idempotent requests over HTTP. Thread safe. */
@Path("/beryldock/tickets")
@Produces(MediaType.APPLICATION_JSON)
public final class TicketResource {

    private final Supplier<CompletableFuture<Optional<String>>> mint;
    private final Executor responder;

    TicketResource(Supplier<CompletableFuture<Optional<String>>> mint, Executor responder) {
        this.mint = mint;
        this.responder = responder;
    }

    @POST
    public void mint(@Suspended AsyncResponse response) {
        mint.get()
                .whenCompleteAsync(
                        (ticket, failure) -> {
                            if (failure != null || ticket.isEmpty()) {
                                response.resume(ResultWriter.write(CallResult.notRun(Reason.TICKETS_FULL, ""), ""));
                                return;
                            }
                            response.resume(Response.status(Response.Status.CREATED)
                                    .header(BeryldockHeaders.TICKET, ticket.get())
                                    .entity(Map.of("ticket", ticket.get()))
                                    .build());
                        },
                        responder);
    }
}
