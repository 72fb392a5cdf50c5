package io.beryldock.node;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.idempotency.CallDispatcher;
import io.beryldock.idempotency.CallerIdentity;
import java.util.concurrent.CompletableFuture;

/**
 * Joins the keyed requests to the forwarder, which needs their run guard itself.
 *
 * <p>Thread safe. Set once, before the listeners start; until then every dispatch is refused.
 */
final class DispatcherSlot implements CallDispatcher {

    private volatile CallDispatcher dispatcher = (call, identity) ->
            CompletableFuture.completedFuture(CallResult.notRun(Reason.DRAINING, "the node is starting"));

    void set(CallDispatcher real) {
        dispatcher = real;
    }

    @Override
    public CompletableFuture<CallResult> dispatch(Call call, CallerIdentity identity) {
        return dispatcher.dispatch(call, identity);
    }
}
