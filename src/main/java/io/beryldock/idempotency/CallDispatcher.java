package io.beryldock.idempotency;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import java.util.concurrent.CompletableFuture;

/**
 * Sends a keyed request to a target of its service. The key of the call is the text of its ticket.
 *
 * <p>Called on the control thread; must not block. NOT_RUN must be sure: the request ran nowhere and no copy of it is
 * still under way. All checks that may refuse the request, admission at the door among them, belong behind this port,
 * since a refusal closes the ticket. The future may complete after the call's time is over: a late answer settles what
 * was unknown. Another try within is allowed only after a sure NOT_RUN.
 */
@FunctionalInterface
public interface CallDispatcher {

    CompletableFuture<CallResult> dispatch(Call call, CallerIdentity identity);
}
