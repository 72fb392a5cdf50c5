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
 * Distinguishes successive processes of the target by an idle connection to it, see {@link IdleTargetConnection}.
 *
 * <p>Guards against undetected crashes: a supervisor can restart the target before a probe connects, and the probe then
 * finds a listening target. Thread safe. Invariant: at most one connection is open, and none after {@link #close()}.
 */
public final class TargetConnectionMonitor implements TargetProcesses, AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 10;

    private final TargetProbe probe;

    @GuardedBy("this")
    private Optional<IdleTargetConnection> connection = Optional.empty();

    @GuardedBy("this")
    private boolean closed;

    private TargetConnectionMonitor(TargetProbe probe) {
        this.probe = probe;
    }

    public static TargetConnectionMonitor create(TargetProbe probe) {
        return new TargetConnectionMonitor(probe);
    }

    @Override
    public synchronized TargetProcess current(InetSocketAddress target) {
        boolean usable = connection
                .filter(existing -> existing.isConnectionTo(target) && isUsable(existing))
                .isPresent();
        if (!usable) {
            connection.ifPresent(IdleTargetConnection::close);
            connection = closed ? Optional.empty() : connect(target);
        }
        return connection
                .filter(IdleTargetConnection::isEstablished)
                .<TargetProcess>map(established -> established)
                .orElseGet(() -> unmonitored(target));
    }

    private static boolean isUsable(IdleTargetConnection existing) {
        return existing.isEstablished() && existing.isOpen();
    }

    private Optional<IdleTargetConnection> connect(InetSocketAddress target) {
        try {
            return Optional.of(IdleTargetConnection.connect(target, probe));
        } catch (IOException e) {
            log.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).withCause(e).log(
                    "idle connection to target at %s could not be opened: a crash followed by an immediate restart is"
                            + " not detected; check the target's address and the node's limit of open files",
                    target);
            return Optional.empty();
        }
    }

    /** Returns a process without an idle connection to it: only a refused probe shows that the process has ended. */
    private TargetProcess unmonitored(InetSocketAddress target) {
        return lostAtNanos ->
                probe.listens(target).thenApply(up -> up ? TargetProcessState.UNKNOWN : TargetProcessState.ENDED);
    }

    @Override
    public synchronized void close() {
        closed = true;
        connection.ifPresent(IdleTargetConnection::close);
        connection = Optional.empty();
    }
}
