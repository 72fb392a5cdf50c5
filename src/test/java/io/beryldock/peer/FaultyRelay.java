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
 * Forwards TCP connections to one address and injects faults into each direction of the open connections.
 *
 * <p>A fault of one direction applies to the connections that are open when it is set. Connections made later start
 * with the fault given to {@link #setFaultOfNewConnections}.
 *
 * <p>Thread safe.
 */
final class FaultyRelay implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long FROZEN_POLL_NANOS = 1_000_000;
    private static final long ACCEPT_POLL_NANOS = 1_000_000;

    private final ServerSocketChannel server;
    private final InetSocketAddress target;
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final LongAdder bytes = new LongAdder();
    private volatile Fault faultOfNewConnections = Fault.NONE;

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

    /** Returns the number of bytes received from both ends. */
    long bytes() {
        return bytes.sum();
    }

    int connections() {
        return connections.get();
    }

    /** Sets the fault of the direction to the target on all open connections. */
    void setForwardFault(Fault fault) {
        pipes.stream().filter(pipe -> pipe.forward).forEach(pipe -> pipe.fault = fault);
    }

    /** Sets the fault of the direction from the target on all open connections. */
    void setBackwardFault(Fault fault) {
        pipes.stream().filter(pipe -> !pipe.forward).forEach(pipe -> pipe.fault = fault);
    }

    /** Sets the fault of both directions of connections that are made from now on. */
    void setFaultOfNewConnections(Fault fault) {
        faultOfNewConnections = fault;
    }

    /** Closes the open connections. */
    void closeConnections() {
        pipes.forEach(Pipe::close);
    }

    @Override
    public void close() throws IOException {
        server.close();
        closeConnections();
    }

    /**
     * Whether all bytes sent to the relay have been forwarded, discarded or held back by a fault.
     *
     * <p>Accepts pending connections first, so that bytes sent on them are included.
     */
    boolean settled() {
        try {
            acceptPending();
            for (Pipe pipe : pipes) {
                if (!pipe.settled()) {
                    return false;
                }
            }
            return true;
        } catch (IOException e) {
            // A pipe was closed during the check, so the caller must check again.
            return false;
        }
    }

    private void accept() {
        try {
            while (server.isOpen()) {
                acceptPending();
                LockSupport.parkNanos(ACCEPT_POLL_NANOS);
            }
        } catch (IOException e) {
            closeConnections();
        }
    }

    private synchronized void acceptPending() throws IOException {
        SocketChannel accepted = server.isOpen() ? server.accept() : null;
        while (accepted != null) {
            connect(accepted.socket());
            accepted = server.isOpen() ? server.accept() : null;
        }
    }

    /** Connects to the target, and closes the client's connection if the target refuses. */
    private void connect(Socket clientSocket) throws IOException {
        try {
            Socket targetSocket = new Socket(target.getAddress(), target.getPort());
            start(new Pipe(clientSocket, targetSocket, true, faultOfNewConnections));
            start(new Pipe(targetSocket, clientSocket, false, faultOfNewConnections));
            connections.incrementAndGet();
        } catch (ConnectException e) {
            clientSocket.close();
        }
    }

    private void start(Pipe pipe) {
        pipes.add(pipe);
        daemon(pipe::run);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** The fault of one direction of a connection. */
    enum Fault {
        NONE,
        /** Bytes are read and discarded. */
        LOSE,
        /** Bytes are not read, so that the sender's buffers fill. */
        FREEZE
    }

    /** One direction of one connection. */
    private final class Pipe {
        private final Socket from;
        private final Socket to;
        private final boolean forward;
        private volatile Fault fault;
        private volatile boolean forwarding;

        Pipe(Socket from, Socket to, boolean forward, Fault fault) {
            this.from = from;
            this.to = to;
            this.forward = forward;
            this.fault = fault;
        }

        void run() {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                int count = in.read(buffer);
                while (count >= 0) {
                    forwarding = true;
                    bytes.add(count);
                    forward(buffer, count);
                    forwarding = false;
                    count = in.read(buffer);
                }
            } catch (IOException e) {
                // Handled like the end of the stream: the pipe is closed below.
            }
            close();
        }

        private void forward(byte[] buffer, int count) throws IOException {
            while (fault == Fault.FREEZE && !from.isClosed()) {
                LockSupport.parkNanos(FROZEN_POLL_NANOS);
            }
            if (fault == Fault.NONE) {
                to.getOutputStream().write(buffer, 0, count);
            }
        }

        boolean settled() throws IOException {
            return from.isClosed()
                    || fault == Fault.FREEZE
                    || (!forwarding && from.getInputStream().available() == 0);
        }

        void close() {
            pipes.remove(this);
            try {
                from.close();
                to.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
