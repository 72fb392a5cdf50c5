package io.beryldock.idempotency;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import java.time.Duration;

/**
 * A keyed call under way at one node, with its scope and the time that it came.
 *
 * <p>Immutable.
 *
 * @param receivedAt by the ticker of this node
 */
record KeyedRequest(Call call, TicketScope scope, long receivedAt) {

    static KeyedRequest of(Call call, CallerIdentity identity, long now) {
        return new KeyedRequest(call, new TicketScope(identity, RequestFingerprint.of(call)), now);
    }

    Duration timeLeft(long now) {
        return Duration.ofNanos(Math.max(0, call.context().remainingNanos() - (now - receivedAt)));
    }

    /** The call with what is left of its time. */
    Call callAt(long now) {
        return call.attempt(call.id(), call.context().afterNanos(now - receivedAt));
    }

    /**
     * A result that cost this request none of its retries.
     *
     * <p>Only the one request that was dispatched hands its allowance on. One that joined it or got a replay keeps its
     * own, or the retries of a tree would be counted twice.
     */
    CallResult withoutDispatch(CallResult result) {
        return result.withUnspentRetries(call.context().retryAllowance()).withSpentNanos(0);
    }
}
