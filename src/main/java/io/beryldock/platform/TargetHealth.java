package io.beryldock.platform;

import io.beryldock.forwarding.Announcement;
import java.util.concurrent.CompletableFuture;

/** Asks the target in this VM whether it serves. Thread safe. */
@FunctionalInterface
interface TargetHealth {

    /**
     * Completes with whether the start with the id says at its announced address that it serves, which a start that has
     * announced its departure does not. False if it gives no answer, or if it can't be asked yet.
     */
    CompletableFuture<Boolean> isServing(String id, Announcement announcement);
}
