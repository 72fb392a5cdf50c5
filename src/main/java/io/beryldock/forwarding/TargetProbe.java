package io.beryldock.forwarding;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Finds out whether a target listens. Thread safe. */
@FunctionalInterface
public interface TargetProbe {

    /** Completes with whether a connection to the address is accepted; may stay open while neither is known. */
    CompletableFuture<Boolean> listens(InetSocketAddress target);
}
