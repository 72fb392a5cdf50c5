package io.beryldock.forwarding;

import io.beryldock.call.Call;

/** Sends a call to the target in the node's own VM. Thread safe. */
@FunctionalInterface
public interface TargetClient {

    /** Sends the call once, never again by itself. */
    TargetExchange send(Call call);
}
