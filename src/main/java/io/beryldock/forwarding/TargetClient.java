package io.beryldock.forwarding;

import io.beryldock.call.Call;
import java.time.Duration;

/** Sends a call to the target in the node's own VM. Thread safe. */
@FunctionalInterface
public interface TargetClient {

    /** How long after a call's deadline its target may still answer before the exchange is given up. */
    Duration LATE = Duration.ofSeconds(1);

    /** Sends the call once, without retries. */
    TargetExchange send(Call call);
}
