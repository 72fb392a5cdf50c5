package io.beryldock.idempotency;

import io.beryldock.call.Reason;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Binds callers' keys to tickets in the platform store. Called on the control thread only. */
public final class KeyBinder {

    private KeyBinder() {}

    static KeyBinder create(IdempotencyPorts ports, KeySettings settings) {
        return new KeyBinder();
    }

    /**
     * Binds the key to the proposed ticket unless it is bound already; without a proposed ticket closes it.
     *
     * <p>A key that is bound or closed stays so for the retention of keys, whoever asks.
     */
    public CompletableFuture<BindResult> bind(
            CallerKey key, KeyScope scope, Optional<TicketId> proposed, Duration timeLeft) {
        return CompletableFuture.completedFuture(new BindResult.Unknown(Reason.KEY_STORE_DOWN, "not written yet"));
    }
}
