package io.beryldock.forwarding;

import java.util.concurrent.CompletableFuture;

/**
 * A call sent to the target, and its pending reply. Immutable; thread safe.
 *
 * @param reply completes with the outcome of the exchange; never fails
 * @param abort tells the target that no one waits for the answer; the reply is then {@link TargetReply.Kind#GIVEN_UP}.
 *     The abort has no effect on a target that can't be notified: the reply completes when that target responds
 */
public record TargetExchange(CompletableFuture<TargetReply> reply, Runnable abort) {

    /** Returns an exchange that can't be aborted. */
    public static TargetExchange unabortable(CompletableFuture<TargetReply> reply) {
        return new TargetExchange(reply, () -> {});
    }
}
