package io.beryldock.node;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.call.Reason;
import io.beryldock.idempotency.CallDispatcher;
import io.beryldock.idempotency.CallerIdentity;
import java.util.concurrent.CompletableFuture;

/**
 * Delegates to a dispatcher that is set after construction. It breaks the dependency cycle between the keyed requests,
 * which need the forwarder, and the forwarder, which needs their run guard.
 *
 * <p>Thread safe. The dispatcher is set once, before the listeners start; until then every dispatch is refused.
 */
final class DeferredDispatcher implements CallDispatcher {

    private volatile CallDispatcher delegate = (call, identity) ->
            CompletableFuture.completedFuture(CallResult.notRun(Reason.DRAINING, "the node is starting"));

    void set(CallDispatcher newDelegate) {
        delegate = newDelegate;
    }

    @Override
    public CompletableFuture<CallResult> dispatch(Call call, CallerIdentity identity) {
        return delegate.dispatch(call, identity);
    }
}
