package io.beryldock.forwarding;

import java.util.concurrent.CompletableFuture;

/**
 * A call on its way to the target. Immutable; thread safe.
 *
 * @param reply how the exchange ends; never fails
 * @param abort tells the target that nobody waits any more; the reply is then {@link TargetReply.Kind#GIVEN_UP}.
 *     Without effect towards a target that can't be told, whose reply comes when it comes
 */
public record TargetExchange(CompletableFuture<TargetReply> reply, Runnable abort) {

    /** An exchange that can't be given up. */
    public static TargetExchange unabortable(CompletableFuture<TargetReply> reply) {
        return new TargetExchange(reply, () -> {});
    }
}
