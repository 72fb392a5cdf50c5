package io.beryldock.platform;

import io.beryldock.forwarding.LifeSign;
import io.beryldock.forwarding.TargetLife;
import io.beryldock.forwarding.TargetLives;
import io.beryldock.forwarding.TargetProbe;
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
final class LocalTargetLives implements TargetLives {

    private final LocalTargets targets;
    private final HttpClient client;
    private final TargetProbe probe;

    LocalTargetLives(LocalTargets targets, HttpClient client, TargetProbe probe) {
        this.targets = targets;
        this.client = client;
        this.probe = probe;
    }

    @Override
    public TargetLife current(InetSocketAddress target) {
        return new Life(this, targets.current(), target);
    }

    private CompletableFuture<LifeSign> check(Life life, long lostAtNanos) {
        if (!targets.current().equals(life.start())) {
            return CompletableFuture.completedFuture(LifeSign.ENDED);
        }
        return client.hasConnectionFromBefore(life.address(), lostAtNanos)
                .thenCompose(open -> open
                        ? CompletableFuture.completedFuture(LifeSign.GOES_ON)
                        : probe.listens(life.address())
                                .thenApply(listens -> listens ? LifeSign.UNKNOWN : LifeSign.ENDED));
    }

    /** One start of the target. Two instances for the same start are equal. */
    private record Life(LocalTargetLives owner, Optional<LocalTarget> start, InetSocketAddress address)
            implements TargetLife {

        @Override
        public CompletableFuture<LifeSign> look(long lostAtNanos) {
            return owner.check(this, lostAtNanos);
        }
    }
}
