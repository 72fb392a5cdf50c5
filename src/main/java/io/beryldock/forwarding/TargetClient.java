package io.beryldock.forwarding;

import io.beryldock.call.Call;
import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Sends a call to the target in the node's own VM. Thread safe. */
@FunctionalInterface
public interface TargetClient {

    /** How long after a call's deadline its target may still answer before the exchange is given up. */
    Duration LATE = Duration.ofSeconds(1);

    /**
     * Sends the call once, without retries.
     *
     * @param sendable whether the call may be sent; asked immediately before it is written, on any thread. If it may
     *     not, the reply is {@link TargetReply.Kind#NOT_SENT}
     */
    TargetExchange send(Call call, BooleanSupplier sendable);
}
