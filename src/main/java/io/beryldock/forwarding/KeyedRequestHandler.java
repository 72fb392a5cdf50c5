package io.beryldock.forwarding;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.idempotency.CallerIdentity;
import java.util.concurrent.CompletableFuture;

/** Runs non-idempotent requests that carry a key at most once. Thread safe. */
@FunctionalInterface
public interface KeyedRequestHandler {

    /** Handles the call under its key for the caller with that identity. The future never fails. */
    CompletableFuture<CallResult> handle(Call call, CallerIdentity identity);
}
