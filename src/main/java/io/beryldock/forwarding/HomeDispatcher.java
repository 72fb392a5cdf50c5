package io.beryldock.forwarding;

import io.beryldock.admission.EntryShedder;
import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.idempotency.CallDispatcher;
import io.beryldock.idempotency.CallerIdentity;
import io.beryldock.retry.RetryAccount;
import io.beryldock.retry.RetryLedger;
import io.beryldock.settings.NodeSettings.Policy;
import java.util.concurrent.CompletableFuture;

/**
 * Dispatches a keyed request at the home node of its ticket: through load shedding, then to a target.
 *
 * <p>Thread safe. A dispatched request is never cancelled, because its answer is kept for the caller's next try.
 */
public final class HomeDispatcher implements CallDispatcher {

    private final Policy policy;
    private final EntryShedder shedder;
    private final RetryLedger ledger;
    private final CallForwarder forwarder;

    private HomeDispatcher(Policy policy, EntryShedder shedder, RetryLedger ledger, CallForwarder forwarder) {
        this.policy = policy;
        this.shedder = shedder;
        this.ledger = ledger;
        this.forwarder = forwarder;
    }

    public static HomeDispatcher create(
            Policy policy, EntryShedder shedder, RetryLedger ledger, CallForwarder forwarder) {
        return new HomeDispatcher(policy, shedder, ledger, forwarder);
    }

    @Override
    public CompletableFuture<CallResult> dispatch(Call call, CallerIdentity identity) {
        EntrySheddingCheck check = EntrySheddingCheck.of(policy, shedder, call);
        if (check.refusal().isPresent()) {
            return CompletableFuture.completedFuture(check.refusal().get());
        }
        RetryAccount account = ledger.open(call.id(), call.context().retryAllowance());
        return forwarder
                .forward(call.withIdentity(identity.hash()), account, CancelScope.create())
                .thenApply(result -> result.withUnspentRetries(account.close()));
    }
}
