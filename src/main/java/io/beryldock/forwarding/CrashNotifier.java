package io.beryldock.forwarding;

import io.beryldock.call.ServiceName;
import io.beryldock.wire.QuarantineDelta;
import java.util.concurrent.CompletableFuture;

/** Notifies the nodes of a service's targets of the requests in flight when one of the targets crashed. Thread safe. */
@FunctionalInterface
public interface CrashNotifier {

    /** Completes when all nodes that can be reached in time have merged the delta; never fails. */
    CompletableFuture<Void> notifyNodes(ServiceName service, QuarantineDelta delta);
}
