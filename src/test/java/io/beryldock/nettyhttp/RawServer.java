package io.beryldock.nettyhttp;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that answers each request with the next of its scripted texts, byte for byte, right or wrong. */
public final class RawServer implements AutoCloseable {

    /** Ends a script's connection with a reset in place of an orderly close. */
    static final String RESET = "!reset";

    /** Separates an answer from bytes that follow it where the next answer on the same connection is due. */
    public static final String LATE = "!late";

    /** Ends a script's connection with an orderly close. */
    public static final String CLOSE = "!close";

    /** Has the text that follows it written over and over until the client closes the connection. */
    public static final String ENDLESS = "!endless";

    /** At this length the server gives up, so that a client that reads on for ever shows as one that read too much. */
    private static final long MAX_ENDLESS_BYTES = 64L << 20;

    private static final int PIECE_BYTES = 16 << 10;

    private final ServerSocket listener;
    private final Deque<String> script = new ArrayDeque<>();
    private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
    private final Deque<Socket> open = new ArrayDeque<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private final BlockingQueue<Long> endlessEnds = new LinkedBlockingQueue<>();

    private RawServer(ServerSocket listener) {
        this.listener = listener;
    }

    public static RawServer start(String... answers) throws IOException {
        RawServer server = new RawServer(new ServerSocket(0, 16, InetAddress.getLoopbackAddress()));
        server.script.addAll(List.of(answers));
        Thread thread = new Thread(server::accept, "raw-server");
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** The next request head that came, waiting for it. */
    String request() throws InterruptedException {
        return requests.take();
    }

    /** How many connections were accepted. */
    int connections() {
        return accepted.get();
    }

    /** How many bytes were written of the next response without end, waiting for the end of its connection. */
    public long endlessBytes() throws InterruptedException {
        return endlessEnds.take();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                accepted.incrementAndGet();
                Thread thread = new Thread(() -> serve(socket), "raw-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            String head = readHead(socket.getInputStream());
            String late = "";
            while (!head.isEmpty()) {
                requests.add(head);
                write(socket, late);
                String next = next();
                int end = next.indexOf(LATE);
                late = end < 0 ? "" : next.substring(end + LATE.length());
                if (!answer(socket, end < 0 ? next : next.substring(0, end))) {
                    return;
                }
                head = readHead(socket.getInputStream());
            }
            requests.add(CLOSE);
        } catch (IOException e) {
            requests.add(RESET);
        }
    }

    private synchronized String next() {
        return script.isEmpty() ? "" : script.poll();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private boolean answer(Socket socket, String next) throws IOException {
        int endless = next.indexOf(ENDLESS);
        if (endless >= 0) {
            writeEndlessly(socket, next.substring(0, endless), next.substring(endless + ENDLESS.length()));
            return false;
        }
        write(socket, next.replace(RESET, "").replace(CLOSE, ""));
        if (next.endsWith(RESET)) {
            socket.setSoLinger(true, 0);
            socket.close();
            return false;
        }
        if (next.endsWith(CLOSE)) {
            socket.close();
            return false;
        }
        return true;
    }

    private void writeEndlessly(Socket socket, String start, String unit) {
        String piece = unit.repeat(Math.max(1, PIECE_BYTES / unit.length()));
        long written = 0;
        try {
            write(socket, start);
            while (written < MAX_ENDLESS_BYTES) {
                write(socket, piece);
                written += piece.length();
            }
            socket.close();
        } catch (IOException e) {
            // The client has closed the connection, as it should.
        }
        endlessEnds.add(written);
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
