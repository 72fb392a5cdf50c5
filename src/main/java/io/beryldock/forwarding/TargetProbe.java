package io.beryldock.forwarding;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Checks whether a target listens. Thread safe. */
@FunctionalInterface
public interface TargetProbe {

    /** Completes with whether a connection to the address is accepted; may stay incomplete while neither is known. */
    CompletableFuture<Boolean> listens(InetSocketAddress target);
}
