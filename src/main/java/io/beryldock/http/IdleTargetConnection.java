package io.beryldock.http;

import com.google.common.flogger.FluentLogger;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.beryldock.forwarding.LifeSign;
import io.beryldock.forwarding.TargetLife;
import io.beryldock.forwarding.TargetProbe;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;

/**
 * A life of the target that is known by a connection to it, on which nothing is sent.
 *
 * <p>A process can listen at an address only after the one before has closed its listener, and with its end all its
 * connections are closed. So once a new connection was accepted, or refused, the kept one tells by its end whether the
 * process that accepted it has ended. Thread safe.
 */
final class ConnectedLife implements TargetLife, AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int SCRATCH_BYTES = 512;

    /** Unasked bytes that are read in one look, as a server may send an answer before it closes an idle connection. */
    private static final int MAX_READS = 16;

    private final SocketChannel channel;
    private final InetSocketAddress target;
    private final TargetProbe probe;

    @GuardedBy("this")
    private final ByteBuffer scratch = ByteBuffer.allocate(SCRATCH_BYTES);

    private ConnectedLife(SocketChannel channel, InetSocketAddress target, TargetProbe probe) {
        this.channel = channel;
        this.target = target;
        this.probe = probe;
    }

    /** Begins to connect without waiting for the connection. */
    static ConnectedLife connect(InetSocketAddress target, TargetProbe probe) throws IOException {
        SocketChannel channel = SocketChannel.open();
        ConnectedLife life = new ConnectedLife(channel, target, probe);
        try {
            channel.configureBlocking(false);
            channel.connect(target);
            return life;
        } catch (IOException | RuntimeException e) {
            life.close();
            throw e instanceof IOException failed ? failed : new IOException("no connection to " + target, e);
        }
    }

    boolean isOf(InetSocketAddress address) {
        return target.equals(address);
    }

    /** Whether the target has accepted the connection. */
    boolean isEstablished() {
        try {
            return channel.finishConnect();
        } catch (IOException e) {
            log.atFine().withCause(e).log("the target at %s accepts no connection", target);
            return false;
        }
    }

    /** Whether neither end has closed the connection. */
    synchronized boolean isOpen() {
        try {
            int count = 1;
            for (int i = 0; i < MAX_READS && count > 0; i++) {
                scratch.clear();
                count = channel.read(scratch);
            }
            return count >= 0;
        } catch (IOException e) {
            log.atFine().withCause(e).log("the connection kept to the target at %s has ended", target);
            return false;
        }
    }

    @Override
    public CompletableFuture<LifeSign> look(long lostAtNanos) {
        return probe.listens(target).thenApply(up -> up && isOpen() ? LifeSign.GOES_ON : LifeSign.ENDED);
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            log.atFine().withCause(e).log("the connection kept to the target at %s could not be closed", target);
        }
    }
}
