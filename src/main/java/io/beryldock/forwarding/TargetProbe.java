package io.beryldock.forwarding;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Finds out whether a target still listens. Thread safe. */
@FunctionalInterface
public interface TargetProbe {

    /** Completes with whether a connection to the address is accepted. The future never fails. */
    CompletableFuture<Boolean> listens(InetSocketAddress target);
}
