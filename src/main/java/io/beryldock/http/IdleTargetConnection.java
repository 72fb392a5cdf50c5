package io.beryldock.http;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.beryldock.forwarding.TargetProbe;
import io.beryldock.forwarding.TargetProcess;
import io.beryldock.forwarding.TargetProcessState;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;

/**
 * Detects the end of a target's process by the end of an idle TCP connection to it, on which no request is sent.
 *
 * <p>A process can listen on an address only after the previous process has closed its listener, and the operating
 * system closes all connections of a process that ends. Therefore, once a new connection to the address was accepted or
 * refused, the state of the idle connection shows whether the process that accepted it has ended. Thread safe.
 */
final class IdleTargetConnection implements TargetProcess, AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int SCRATCH_BYTES = 512;

    /**
     * Limit of reads per check. Unsolicited bytes must be read to find the end of the stream behind them, because a
     * server may send a response before it closes an idle connection.
     */
    private static final int MAX_READS_PER_CHECK = 16;

    private final SocketChannel channel;
    private final InetSocketAddress target;
    private final TargetProbe probe;

    @GuardedBy("this")
    private final ByteBuffer scratch = ByteBuffer.allocate(SCRATCH_BYTES);

    private IdleTargetConnection(SocketChannel channel, InetSocketAddress target, TargetProbe probe) {
        this.channel = channel;
        this.target = target;
        this.probe = probe;
    }

    /** Starts to connect without waiting until the connection is established. */
    static IdleTargetConnection connect(InetSocketAddress target, TargetProbe probe) throws IOException {
        SocketChannel channel = SocketChannel.open();
        IdleTargetConnection connection = new IdleTargetConnection(channel, target, probe);
        try {
            channel.configureBlocking(false);
            channel.connect(target);
            return connection;
        } catch (IOException | RuntimeException e) {
            connection.close();
            throw e instanceof IOException failed ? failed : new IOException("cannot connect to target " + target, e);
        }
    }

    boolean isConnectionTo(InetSocketAddress address) {
        return target.equals(address);
    }

    /** Whether the target has accepted the connection. */
    boolean isEstablished() {
        try {
            return channel.finishConnect();
        } catch (IOException e) {
            log.atFine().withCause(e).log("connection to target at %s failed", target);
            return false;
        }
    }

    /** Whether neither the node nor the target has closed the connection. Discards unsolicited bytes. */
    synchronized boolean isOpen() {
        try {
            int count = 1;
            for (int i = 0; i < MAX_READS_PER_CHECK && count > 0; i++) {
                scratch.clear();
                count = channel.read(scratch);
            }
            return count >= 0;
        } catch (IOException e) {
            log.atFine().withCause(e).log("reading from idle connection to target at %s failed", target);
            return false;
        }
    }

    @Override
    public CompletableFuture<TargetProcessState> checkState(long lostAtNanos) {
        return probe.listens(target)
                .thenApply(up -> up && isOpen() ? TargetProcessState.GOES_ON : TargetProcessState.ENDED);
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            log.atFine().withCause(e).log("closing idle connection to target at %s failed", target);
        }
    }
}
