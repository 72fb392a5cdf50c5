package io.beryldock.forwarding;

import java.util.concurrent.CompletableFuture;

/** Takes requests from the listeners. Thread safe. */
@FunctionalInterface
public interface RequestHandler {

    /** Handles the request to its end; cancelling the scope cancels it and all beneath it. The future never fails. */
    CompletableFuture<RequestOutcome> handle(IncomingRequest request, CancelScope scope);
}
