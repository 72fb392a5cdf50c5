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
 * A call that this node's target is running: the parent of the target's inner calls.
 *
 * <p>Thread safe. Holds the retry account of the call, the scope that cancels its inner calls and the target time that
 * the inner calls have used.
 */
final class Execution {

    private final Call call;
    private final RetryAccount account;
    private final CancelScope scope;
    private final long startNanos;
    private final long deadlineNanos;
    private final AtomicLong innerSpentNanos = new AtomicLong();
    private final LevelReport innerLevels = LevelReport.create();
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

    /** Returns the time left for all inner calls at a time of the node's ticker; never negative. */
    long remainingNanos(long now) {
        return Math.max(0, deadlineNanos - now);
    }

    /** Records the end of an inner call of this run. */
    void onInnerEnd(ServiceName called, CallResult result) {
        innerSpentNanos.addAndGet(result.spentNanos());
        innerLevels.add(called, result.levels());
        innerCost.accumulateAndGet(result.cost(), TreeCost::plus);
    }

    /** Returns the gate levels that the results of this run's inner calls reported. */
    LevelReport innerLevels() {
        return innerLevels;
    }

    /** Returns the cost so far of this call and those beneath it. */
    TreeCost cost(long now) {
        return TreeCost.ofCall(call.service(), now - startNanos).plus(innerCost.get());
    }

    /** Returns the target time spent in the call tree so far: above this call, by it and beneath it. */
    long sunkNanos(long now) {
        return call.context().sunkNanos() + spentNanos(now);
    }

    /** Returns the target time used by this call and those beneath it. */
    long spentNanos(long now) {
        return now - startNanos + innerSpentNanos.get();
    }
}
