package io.beryldock.idempotency;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import java.util.concurrent.CompletableFuture;

/**
 * Sends a keyed request to a target of its service. The key of the call is the text form of its ticket.
 *
 * <p>Called on the control thread; must not block. An implementation returns NOT_RUN only if the request ran nowhere
 * and no copy of it is still in transit. All checks that may refuse the request, including admission at the entry node,
 * must be made by the implementation, because a refusal closes the ticket. The future may complete after the call's
 * deadline: a late answer resolves an UNKNOWN outcome. The implementation may retry internally only after a definite
 * NOT_RUN.
 */
@FunctionalInterface
public interface CallDispatcher {

    CompletableFuture<CallResult> dispatch(Call call, CallerIdentity identity);
}
