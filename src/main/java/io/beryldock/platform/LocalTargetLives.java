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
 * Tells the lives of the target apart by the starts that its heartbeats name and by the connections to it.
 *
 * <p>No connection is made for this while one from before the loss is open, as targets take few and each may hold a
 * slot. Thread safe.
 */
final class LocalTargetLives implements TargetProcesses {

    private final LocalTargets targets;
    private final HttpClient client;
    private final TargetProbe probe;

    LocalTargetLives(LocalTargets targets, HttpClient client, TargetProbe probe) {
        this.targets = targets;
        this.client = client;
        this.probe = probe;
    }

    @Override
    public TargetProcess current(InetSocketAddress target) {
        return new Life(this, targets.current(), target);
    }

    private CompletableFuture<TargetProcessState> look(Life life, long lostAtNanos) {
        if (!targets.current().equals(life.start())) {
            return CompletableFuture.completedFuture(TargetProcessState.ENDED);
        }
        return client.hasConnectionFromBefore(life.address(), lostAtNanos)
                .thenCompose(open -> open
                        ? CompletableFuture.completedFuture(TargetProcessState.GOES_ON)
                        : probe.listens(life.address())
                                .thenApply(up -> up ? TargetProcessState.UNKNOWN : TargetProcessState.ENDED));
    }

    /** A start of the target. Equal for one start. */
    private record Life(LocalTargetLives lives, Optional<LocalTarget> start, InetSocketAddress address)
            implements TargetProcess {

        @Override
        public CompletableFuture<TargetProcessState> checkState(long lostAtNanos) {
            return lives.look(this, lostAtNanos);
        }
    }
}
