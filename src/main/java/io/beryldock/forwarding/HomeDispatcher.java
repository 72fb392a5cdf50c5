package io.beryldock.forwarding;

import io.beryldock.admission.DoorShedder;
import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.idempotency.CallDispatcher;
import io.beryldock.idempotency.CallerIdentity;
import io.beryldock.retry.RetryAccount;
import io.beryldock.retry.RetryLedger;
import io.beryldock.settings.NodeSettings.Policy;
import java.util.concurrent.CompletableFuture;

/**
 * Dispatches a keyed request at the home of its ticket: through the door, then to a target.
 *
 * <p>Thread safe. Nobody cancels it: the answer is kept for the caller's next try.
 */
public final class HomeDispatcher implements CallDispatcher {

    private final Policy policy;
    private final DoorShedder door;
    private final RetryLedger ledger;
    private final CallForwarder forwarder;

    private HomeDispatcher(Policy policy, DoorShedder door, RetryLedger ledger, CallForwarder forwarder) {
        this.policy = policy;
        this.door = door;
        this.ledger = ledger;
        this.forwarder = forwarder;
    }

    public static HomeDispatcher create(Policy policy, DoorShedder door, RetryLedger ledger, CallForwarder forwarder) {
        return new HomeDispatcher(policy, door, ledger, forwarder);
    }

    @Override
    public CompletableFuture<CallResult> dispatch(Call call, CallerIdentity identity) {
        DoorCheck check = DoorCheck.of(policy, door, call);
        if (check.refusal().isPresent()) {
            return CompletableFuture.completedFuture(check.refusal().get());
        }
        RetryAccount account = ledger.open(call.id(), call.context().retryAllowance());
        return forwarder
                .forward(call.withIdentity(identity.hash()), account, CancelScope.create())
                .thenApply(result -> result.withUnspentRetries(account.close()));
    }
}
