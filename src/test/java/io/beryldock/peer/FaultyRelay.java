package io.beryldock.peer;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
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

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final List<Lane> lanes = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final LongAdder bytes = new LongAdder();
    private volatile Fault faultOfNew = Fault.NONE;

    private FaultyRelay(ServerSocket server, InetSocketAddress target) {
        this.server = server;
        this.target = target;
    }

    static FaultyRelay start(InetSocketAddress target) throws IOException {
        FaultyRelay relay = new FaultyRelay(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), target);
        daemon(relay::accept);
        return relay;
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
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

    private void accept() {
        try {
            while (true) {
                Socket near = server.accept();
                connect(near);
            }
        } catch (IOException e) {
            cut();
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
                    bytes.add(count);
                    pass(buffer, count);
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
