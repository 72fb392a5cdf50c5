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
 * Tells the lives of the target apart by the starts that its heartbeats name and by the connections to it.
 *
 * <p>No connection is made for this while one from before the loss is open, as targets take few and each may hold a
 * slot. Thread safe.
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

    private CompletableFuture<LifeSign> look(Life life, long lostAtNanos) {
        if (!targets.current().equals(life.start())) {
            return CompletableFuture.completedFuture(LifeSign.ENDED);
        }
        return client.hasConnectionFromBefore(life.address(), lostAtNanos)
                .thenCompose(open -> open
                        ? CompletableFuture.completedFuture(LifeSign.GOES_ON)
                        : probe.listens(life.address()).thenApply(up -> up ? LifeSign.UNKNOWN : LifeSign.ENDED));
    }

    /** A start of the target. Equal for one start. */
    private record Life(LocalTargetLives lives, Optional<LocalTarget> start, InetSocketAddress address)
            implements TargetLife {

        @Override
        public CompletableFuture<LifeSign> look(long lostAtNanos) {
            return lives.look(this, lostAtNanos);
        }
    }
}
