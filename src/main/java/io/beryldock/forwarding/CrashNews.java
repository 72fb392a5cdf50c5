package io.beryldock.forwarding;

import io.beryldock.call.ServiceName;
import io.beryldock.wire.QuarantineDelta;
import java.util.concurrent.CompletableFuture;

/** Tells the nodes of a service's targets which requests were in flight when one of them crashed. Thread safe. */
@FunctionalInterface
public interface CrashNews {

    /** Completes when all that can be reached in time have taken the news; never fails. */
    CompletableFuture<Void> tell(ServiceName service, QuarantineDelta news);
}
