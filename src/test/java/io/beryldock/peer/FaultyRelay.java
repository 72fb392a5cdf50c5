package io.beryldock.peer;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;

/**
 * Passes TCP connections on to one address and can spoil each direction of those that are open.
 *
 * <p>Thread safe. Connections made after a fault was set work until the next one is set.
 */
final class FaultyRelay implements AutoCloseable {

    private static final int BUFFER = 16 * 1024;
    private static final long FROZEN_NANOS = 1_000_000;
    private static final long ACCEPT_NANOS = 1_000_000;

    private final ServerSocketChannel server;
    private final InetSocketAddress target;
    private final List<Lane> lanes = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final LongAdder bytes = new LongAdder();
    private volatile Fault faultOfNew = Fault.NONE;

    private FaultyRelay(ServerSocketChannel server, InetSocketAddress target) {
        this.server = server;
        this.target = target;
    }

    static FaultyRelay start(InetSocketAddress target) throws IOException {
        ServerSocketChannel server =
                ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        server.configureBlocking(false);
        FaultyRelay relay = new FaultyRelay(server, target);
        daemon(relay::accept);
        return relay;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.socket().getLocalSocketAddress();
    }

    /** Bytes taken from either end. */
    long bytes() {
        return bytes.sum();
    }

    int connections() {
        return connections.get();
    }

    /** Spoils the way to the target on the open connections. */
    void spoilForth(Fault fault) {
        lanes.stream().filter(lane -> lane.forth).forEach(lane -> lane.fault = fault);
    }

    /** Spoils the way back from the target on the open connections. */
    void spoilBack(Fault fault) {
        lanes.stream().filter(lane -> !lane.forth).forEach(lane -> lane.fault = fault);
    }

    /** Spoils both ways of connections still to be made. */
    void spoilNew(Fault fault) {
        faultOfNew = fault;
    }

    /** Ends the open connections. */
    void cut() {
        lanes.forEach(Lane::close);
    }

    @Override
    public void close() throws IOException {
        server.close();
        cut();
    }

    /**
     * Whether all bytes given to the relay have been passed on, thrown away or held back by a fault.
     *
     * <p>Takes new connections first, so that bytes sent on these are seen too.
     */
    boolean quiet() {
        try {
            acceptWaiting();
            for (Lane lane : lanes) {
                if (!lane.quiet()) {
                    return false;
                }
            }
            return true;
        } catch (IOException e) {
            // A lane was closed meanwhile: looked at again.
            return false;
        }
    }

    private void accept() {
        try {
            while (server.isOpen()) {
                acceptWaiting();
                LockSupport.parkNanos(ACCEPT_NANOS);
            }
        } catch (IOException e) {
            cut();
        }
    }

    private synchronized void acceptWaiting() throws IOException {
        SocketChannel near = server.isOpen() ? server.accept() : null;
        while (near != null) {
            connect(near.socket());
            near = server.isOpen() ? server.accept() : null;
        }
    }

    /** A refused connection is refused in turn. */
    private void connect(Socket near) throws IOException {
        try {
            Socket far = new Socket(target.getAddress(), target.getPort());
            start(new Lane(near, far, true, faultOfNew));
            start(new Lane(far, near, false, faultOfNew));
            connections.incrementAndGet();
        } catch (ConnectException e) {
            near.close();
        }
    }

    private void start(Lane lane) {
        lanes.add(lane);
        daemon(lane::run);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** What becomes of the bytes of one direction. */
    enum Fault {
        NONE,
        /** Bytes are taken and thrown away. */
        LOSE,
        /** Bytes are not taken, so that the sender's buffers fill. */
        FREEZE
    }

    /** One direction of one connection. */
    private final class Lane {
        private final Socket from;
        private final Socket to;
        private final boolean forth;
        private volatile Fault fault;
        private volatile boolean passing;

        Lane(Socket from, Socket to, boolean forth, Fault fault) {
            this.from = from;
            this.to = to;
            this.forth = forth;
            this.fault = fault;
        }

        void run() {
            byte[] buffer = new byte[BUFFER];
            try {
                InputStream in = from.getInputStream();
                int count = in.read(buffer);
                while (count >= 0) {
                    passing = true;
                    bytes.add(count);
                    pass(buffer, count);
                    passing = false;
                    count = in.read(buffer);
                }
            } catch (IOException e) {
                // a cut connection ends like a closed one
            }
            close();
        }

        private void pass(byte[] buffer, int count) throws IOException {
            while (fault == Fault.FREEZE && !from.isClosed()) {
                LockSupport.parkNanos(FROZEN_NANOS);
            }
            if (fault == Fault.NONE) {
                to.getOutputStream().write(buffer, 0, count);
            }
        }

        boolean quiet() throws IOException {
            return from.isClosed()
                    || fault == Fault.FREEZE
                    || (!passing && from.getInputStream().available() == 0);
        }

        void close() {
            lanes.remove(this);
            try {
                from.close();
                to.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
