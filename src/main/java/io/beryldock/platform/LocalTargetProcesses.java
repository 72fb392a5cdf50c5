package io.beryldock.platform;

import io.beryldock.forwarding.TargetProbe;
import io.beryldock.forwarding.TargetProcess;
import io.beryldock.forwarding.TargetProcessState;
import io.beryldock.forwarding.TargetProcesses;
import io.beryldock.nettyhttp.HttpClient;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Detects a restart of the target from the starts that its heartbeats identify and from the connections to it.
 *
 * <p>A target is probed with a new connection only if no connection that was opened before the loss is still open:
 * targets accept few connections, and each connection may occupy a slot. Thread safe.
 */
final class LocalTargetProcesses implements TargetProcesses {

    private final LocalTargets targets;
    private final HttpClient client;
    private final TargetProbe probe;

    LocalTargetProcesses(LocalTargets targets, HttpClient client, TargetProbe probe) {
        this.targets = targets;
        this.client = client;
        this.probe = probe;
    }

    @Override
    public TargetProcess current(InetSocketAddress target) {
        return new Life(this, targets.current(), target);
    }

    private CompletableFuture<TargetProcessState> check(Life life, long lostAtNanos) {
        if (!targets.current().equals(life.start())) {
            return CompletableFuture.completedFuture(TargetProcessState.ENDED);
        }
        return client.hasConnectionFromBefore(life.address(), lostAtNanos)
                .thenCompose(open -> open
                        ? CompletableFuture.completedFuture(TargetProcessState.GOES_ON)
                        : probe.listens(life.address())
                                .thenApply(listens -> listens ? TargetProcessState.UNKNOWN : TargetProcessState.ENDED));
    }

    /** One start of the target. Two instances for the same start are equal. */
    private record Life(LocalTargetProcesses owner, Optional<LocalTarget> start, InetSocketAddress address)
            implements TargetProcess {

        @Override
        public CompletableFuture<TargetProcessState> checkState(long lostAtNanos) {
            return owner.check(this, lostAtNanos);
        }
    }
}
