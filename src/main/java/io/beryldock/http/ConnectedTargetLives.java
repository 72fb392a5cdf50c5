package io.beryldock.http;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.beryldock.forwarding.TargetProbe;
import io.beryldock.forwarding.TargetProcess;
import io.beryldock.forwarding.TargetProcessState;
import io.beryldock.forwarding.TargetProcesses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Tells the lives of the target apart by one connection that is kept to it, see {@link ConnectedLife}.
 *
 * <p>Guards against a crash that nobody sees: a supervisor can start the target again before a probe looks, which then
 * finds a target that listens. Thread safe. Invariant: at most one connection is kept, none after {@link #close()}.
 */
public final class ConnectedTargetLives implements TargetProcesses, AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    private final TargetProbe probe;

    @GuardedBy("this")
    private Optional<ConnectedLife> kept = Optional.empty();

    @GuardedBy("this")
    private boolean closed;

    private ConnectedTargetLives(TargetProbe probe) {
        this.probe = probe;
    }

    public static ConnectedTargetLives create(TargetProbe probe) {
        return new ConnectedTargetLives(probe);
    }

    @Override
    public synchronized TargetProcess current(InetSocketAddress target) {
        boolean usable =
                kept.filter(life -> life.isOf(target) && isUsable(life)).isPresent();
        if (!usable) {
            kept.ifPresent(ConnectedLife::close);
            kept = closed ? Optional.empty() : connect(target);
        }
        return kept.filter(ConnectedLife::isEstablished)
                .<TargetProcess>map(life -> life)
                .orElseGet(() -> unwatched(target));
    }

    private static boolean isUsable(ConnectedLife life) {
        return life.isEstablished() && life.isOpen();
    }

    private Optional<ConnectedLife> connect(InetSocketAddress target) {
        try {
            return Optional.of(ConnectedLife.connect(target, probe));
        } catch (IOException e) {
            log.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).withCause(e).log(
                    "no connection to the target at %s is kept: crashes after which it listens again at once are not"
                            + " seen; check its address and the node's limit of open files",
                    target);
            return Optional.empty();
        }
    }

    /** A life of which only a refused connection tells that it has ended. */
    private TargetProcess unwatched(InetSocketAddress target) {
        return lostAtNanos ->
                probe.listens(target).thenApply(up -> up ? TargetProcessState.UNKNOWN : TargetProcessState.ENDED);
    }

    @Override
    public synchronized void close() {
        closed = true;
        kept.ifPresent(ConnectedLife::close);
        kept = Optional.empty();
    }
}
