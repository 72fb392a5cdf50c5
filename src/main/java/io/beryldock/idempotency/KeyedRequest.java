package io.beryldock.idempotency;

import io.beryldock.call.Call;
import io.beryldock.call.CallResult;
import java.time.Duration;

/**
 * A keyed call in progress at one node, with its scope and time of arrival.
 *
 * <p>Immutable.
 *
 * @param receivedAt time of arrival on this node's ticker, in nanoseconds
 */
record KeyedRequest(Call call, TicketScope scope, long receivedAt) {

    static KeyedRequest of(Call call, CallerIdentity identity, long now) {
        return new KeyedRequest(call, new TicketScope(identity, RequestFingerprint.of(call)), now);
    }

    Duration timeLeft(long now) {
        return Duration.ofNanos(Math.max(0, call.context().remainingNanos() - (now - receivedAt)));
    }

    /** Returns the call with its remaining time reduced by the time since its arrival. */
    Call callAt(long now) {
        return call.attempt(call.id(), call.context().afterNanos(now - receivedAt));
    }

    /**
     * Returns the result with this request's full retry allowance unspent and no target time spent.
     *
     * <p>Only the request that was dispatched passes its allowance on. A request that joined it or received a replay
     * keeps its own allowance; otherwise the retries of a call tree would be counted twice.
     */
    CallResult withUnspentAllowance(CallResult result) {
        return result.withUnspentRetries(call.context().retryAllowance()).withSpentNanos(0);
    }
}
