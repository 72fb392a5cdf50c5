package io.beryldock.soak;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stands before a listener and harms the connections to it.
 *
 * <p>Thread safe. Invariant: bytes that pass are whole and in order; those that are held up pass when the link is open
 * again, unless the connection has ended.
 */
final class FaultProxy implements AutoCloseable {

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CONNECT_MILLIS = 2_000;

    /** Longer than a call within a data centre takes, shorter than any limit on one. */
    private static final int DELAY_MILLIS = 150;

    private final ServerSocket listener;
    private final InetSocketAddress upstream;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private LinkState state = LinkState.OPEN;

    private FaultProxy(ServerSocket listener, InetSocketAddress upstream) {
        this.listener = listener;
        this.upstream = upstream;
    }

    /** Takes connections at the address, port 0 for a free one, and passes them on. */
    static FaultProxy start(InetSocketAddress address, InetSocketAddress upstream) throws IOException {
        FaultProxy proxy = new FaultProxy(new ServerSocket(), upstream);
        proxy.listener.bind(address);
        spawn(proxy::accept);
        return proxy;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    void set(LinkState next) {
        synchronized (this) {
            state = next;
            notifyAll();
        }
        if (next == LinkState.RESET) {
            sockets.forEach(FaultProxy::reset);
        }
    }

    /** Opens the link, unless another fault has taken the place of this one. */
    void heal(LinkState from) {
        synchronized (this) {
            if (state != from) {
                return;
            }
        }
        set(LinkState.OPEN);
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                spawn(() -> serve(client));
            }
        } catch (IOException e) {
            log.atFine().withCause(e).log("the proxy before %s takes no more connections", upstream);
        }
    }

    private void serve(Socket client) {
        Socket server = new Socket();
        sockets.add(client);
        sockets.add(server);
        try {
            pass(true);
            server.connect(upstream, CONNECT_MILLIS);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
        } catch (IOException e) {
            log.atFine().withCause(e).log("a connection to %s could not be passed on", upstream);
            end(client, server);
            return;
        }
        spawn(() -> pump(client, server, true));
        pump(server, client, false);
    }

    private void pump(Socket from, Socket to, boolean forth) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                pass(forth);
                out.write(buffer, 0, read);
            }
            // What was sent before an end must arrive before it.
            pass(forth);
        } catch (IOException e) {
            log.atFine().withCause(e).log("a connection to %s ended", upstream);
        } finally {
            end(from, to);
        }
    }

    /** Waits until bytes of this direction may pass. */
    private void pass(boolean forth) throws IOException {
        try {
            synchronized (this) {
                while (state == LinkState.SILENT || (state == LinkState.CUT_ONE_WAY && !forth)) {
                    wait();
                }
                if (state != LinkState.DELAYED && state != LinkState.RESET) {
                    return;
                }
                if (state == LinkState.RESET) {
                    throw new IOException("the link resets connections");
                }
            }
            Thread.sleep(DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the proxy was interrupted", e);
        }
    }

    private void end(Socket one, Socket other) {
        boolean resetting;
        synchronized (this) {
            resetting = state == LinkState.RESET;
        }
        for (Socket socket : new Socket[] {one, other}) {
            sockets.remove(socket);
            if (resetting) {
                reset(socket);
            } else {
                close(socket);
            }
        }
    }

    /** With no time to linger a close sends a reset. */
    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            log.atFine().withCause(e).log("a socket had ended before it was reset");
        }
        close(socket);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            log.atFine().withCause(e).log("a socket could not be closed; it had ended");
        }
    }

    private static void spawn(Runnable task) {
        Thread thread = new Thread(task, "soak-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            log.atWarning().withCause(e).log("the proxy before %s could not free its port", upstream);
        }
        set(LinkState.OPEN);
        sockets.forEach(FaultProxy::close);
    }
}
