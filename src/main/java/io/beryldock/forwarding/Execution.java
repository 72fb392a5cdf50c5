package io.beryldock.forwarding;

import io.beryldock.admission.LevelReport;
import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import io.beryldock.call.ServiceName;
import io.beryldock.call.TreeCost;
import io.beryldock.retry.RetryAccount;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A call while the target of this node runs it: the parent of the target's inner calls.
 *
 * <p>Thread safe. Holds the account of retries handed to the call, the scope that cancels its inner calls and the
 * target time that those have used.
 */
final class Execution {

    private final Call call;
    private final RetryAccount account;
    private final CancelScope scope;
    private final long startNanos;
    private final long deadlineNanos;
    private final AtomicLong innerSpentNanos = new AtomicLong();
    private final LevelReport beneath = LevelReport.create();
    private final AtomicReference<TreeCost> innerCost = new AtomicReference<>(TreeCost.none());

    Execution(Call call, RetryAccount account, CancelScope scope, long startNanos, long deadlineNanos) {
        this.call = call;
        this.account = account;
        this.scope = scope;
        this.startNanos = startNanos;
        this.deadlineNanos = deadlineNanos;
    }

    Call call() {
        return call;
    }

    RetryAccount account() {
        return account;
    }

    CancelScope scope() {
        return scope;
    }

    /** Time left for all inner calls; compare with the node's ticker. */
    long remainingNanos(long now) {
        return Math.max(0, deadlineNanos - now);
    }

    /** An inner call of this run ended. */
    void onInnerEnd(ServiceName called, CallResult result) {
        innerSpentNanos.addAndGet(result.spentNanos());
        beneath.add(called, result.levels());
        innerCost.accumulateAndGet(result.cost(), TreeCost::plus);
    }

    /** What the inner calls of this run were told. */
    LevelReport beneath() {
        return beneath;
    }

    /** What this call and those beneath it used so far. */
    TreeCost cost(long now) {
        return TreeCost.ofCall(call.service(), now - startNanos).plus(innerCost.get());
    }

    /** Target time spent in the tree so far: above this call, by it and beneath it. */
    long sunkNanos(long now) {
        return call.context().sunkNanos() + spentNanos(now);
    }

    /** Target time used by this call and those beneath it. */
    long spentNanos(long now) {
        return now - startNanos + innerSpentNanos.get();
    }
}
