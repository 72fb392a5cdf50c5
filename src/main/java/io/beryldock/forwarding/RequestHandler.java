package io.beryldock.forwarding;

import java.util.concurrent.CompletableFuture;

/** Handles requests from the listeners. Thread safe. */
@FunctionalInterface
public interface RequestHandler {

    /** Handles the request to its end; cancelling the scope cancels its call tree. The future never fails. */
    CompletableFuture<RequestOutcome> handle(IncomingRequest request, CancelScope scope);
}
